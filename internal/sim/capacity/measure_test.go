package capacity

import (
	"fmt"
	"runtime"
	"syscall"
	"time"

	"drumstall.example/internal/kernel/wire"
)

func size(v any) float64 { return float64(len(wire.Marshal(v))) }

func fit(name, of string, xs []int, f func(x int) float64) {
	var points, values []float64
	line := ""
	for _, x := range xs {
		y := f(x)
		line += fmt.Sprintf(" %d:%.5g", x, y)
		points, values = append(points, float64(x)), append(values, y)
	}
	slope, atZero := Fit(points, values)
	fmt.Printf("%-42s per %-16s slope %10.4g  at 0 %10.4g  |%s\n", name, of, slope, atZero, line)
}

func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cost is processor time of the process in microseconds for one call, the collector included; allocs is printed besides.
var allocs float64

func cost(f func()) float64 {
	f()
	runtime.GC()
	var a, b runtime.MemStats
	runtime.ReadMemStats(&a)
	n, began := 0, cpu()
	for cpu()-began < 250*time.Millisecond {
		f()
		n++
	}
	took := cpu() - began
	runtime.ReadMemStats(&b)
	allocs = float64(b.Mallocs-a.Mallocs) / float64(n)
	return float64(took.Nanoseconds()) / 1000 / float64(n)
}

func costs(name, of string, xs []int, prep func(x int) func()) {
	var al string
	fit(name+" us", of, xs, func(x int) float64 {
		c := cost(prep(x))
		al += fmt.Sprintf(" %d:%.0f", x, allocs)
		return c
	})
	fmt.Printf("    allocs%s\n", al)
}

func heap(f func() any) float64 {
	var a, b runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&a)
	v := f()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&b)
	runtime.KeepAlive(v)
	return float64(b.HeapAlloc) - float64(a.HeapAlloc)
}
