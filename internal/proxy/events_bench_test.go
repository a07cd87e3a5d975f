package proxy

import (
	"bytes"
	"fmt"
	"testing"
)

func BenchmarkEvents(b *testing.B) {
	for _, events := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprintf("events=%d", events), func(b *testing.B) {
			b.ReportAllocs()
			var chunk bytes.Buffer
			for i := range events {
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
