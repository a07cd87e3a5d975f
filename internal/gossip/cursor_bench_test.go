package gossip

import (
	"fmt"
	"testing"
)

func BenchmarkSince(b *testing.B) {
	for _, size := range []int{1000, 40000} {
		b.Run(fmt.Sprintf("entries=%d", size), func(b *testing.B) {
			table := NewTable()
			for i := range size {
				table.Put(entry(fmt.Sprint("k", i), 1, 1))
			}
			version := uint64(1)
			_, cursor, _ := table.Since(0)
			for b.Loop() {
				version++
				table.Put(entry("k1", 1, version))
				_, cursor, _ = table.Since(cursor)
			}
		})
	}
}
