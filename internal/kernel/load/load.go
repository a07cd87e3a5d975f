// Package load logs what a process was busy with: the calls and datagrams it took, by path and
// kind, and the processor time that it and its garbage collector used.
package load

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"runtime/metrics"
	"slices"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/wire"
)

const (
	// interval is the time between two lines.
	logInterval = 5 * time.Second
	// shown is how many paths and kinds a line names, those with the most bytes first.
	maxNames = 8
	// collecting is the processor time of the garbage collector.
	gcTimeMetric = "/cpu/classes/gc/total:cpu-seconds"
)

// Source is what the calls at each path, or the datagrams of each kind, have cost so far.
type Source func() map[string]wire.Stats

// Watch logs every few seconds what was added since the line before, until g stops.
func StartLogging(g *run.Group, log *slog.Logger, sources ...Source) {
	w := &reporter{log: log, sources: sources}
	w.used = processCPUTime()
	g.Every(logInterval, func(context.Context) { w.report() })
}

type reporter struct {
	log     *slog.Logger
	sources []Source
	stats   map[string]wire.Stats
	used    cpuTime
}

// tell logs what was added since it was last called.
func (w *reporter) report() {
	now, before := MergeStats(w.sources...), w.stats
	usedNow, usedBefore := processCPUTime(), w.used
	w.stats, w.used = now, usedNow
	w.log.Info("calls served", "forMs", logInterval.Milliseconds(), "processorMs", (usedNow.all - usedBefore.all).Milliseconds(),
		"collectorMs", (usedNow.collector - usedBefore.collector).Milliseconds(), "by", formatLargest(now, before))
}

// Served is what all sources tell.
func MergeStats(sources ...Source) map[string]wire.Stats {
	all := map[string]wire.Stats{}
	for _, source := range sources {
		maps.Copy(all, source())
	}
	return all
}

// usage is processor time of this process.
type cpuTime struct{ all, collector time.Duration }

// used is the processor time used so far.
func processCPUTime() cpuTime {
	var u cpuTime
	var r unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &r) == nil {
		u.all = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	}
	sample := []metrics.Sample{{Name: gcTimeMetric}}
	metrics.Read(sample)
	u.collector = time.Duration(sample[0].Value.Float64() * float64(time.Second))
	return u
}

// most names what grew most in bytes between two counts: calls, bytes in and out, time in the handler.
func formatLargest(now, before map[string]wire.Stats) string {
	grown := map[string]wire.Stats{}
	for name, s := range now {
		if added := s.Since(before[name]); added.Calls > 0 {
			grown[name] = added
		}
	}
	names := slices.Collect(maps.Keys(grown))
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(grown[b].Bytes(), grown[a].Bytes()), cmp.Compare(a, b))
	})
	var out []string
	for _, name := range names[:min(len(names), maxNames)] {
		s := grown[name]
		out = append(out, fmt.Sprintf("%s calls=%d in=%d out=%d tookMs=%d", name, s.Calls, s.In, s.Out, s.Took.Milliseconds()))
	}
	return strings.Join(out, "; ")
}
