package proxy

import (
	"bytes"
	"fmt"
	"testing"
)

func BenchmarkEvents(b *testing.B) {
	for _, per := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprintf("events=%d", per), func(b *testing.B) {
			b.ReportAllocs()
			var chunk bytes.Buffer
			for i := range per {
				fmt.Fprintf(&chunk, "id: %d\ndata: {\"token\":\"lorem\",\"index\":%d,\"model\":\"model-0001\"}\n\n", i+1, i)
			}
			s := &eventStream{}
			for b.Loop() {
				s.hasLastID = false
				s.partial = append(s.partial, chunk.Bytes()...)
				s.extract(false)
			}
		})
	}
}
