package judge

import (
	"fmt"
	"testing"
	"time"
)

// What one choice of a replica costs on a request's path.
func BenchmarkBestForRequest(b *testing.B) {
	var rs []Candidate
	for i := range 12 {
		rs = append(rs, Candidate{Name: fmt.Sprintf("m-%02d", i), WarmShare: float64(i) / 20, Inflight: i % 5, Slots: 12, ServeTime: 320 * time.Millisecond, SameZone: i%3 == 0})
	}
	b.ReportAllocs()
	for b.Loop() {
		if BestForRequest(evenWeights, rs) < 0 {
			b.Fatal("none is free")
		}
	}
}
