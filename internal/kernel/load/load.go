// Package load measures the load of a process and logs it: the calls and datagrams it received, by path and
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
	// logInterval is the time between two log lines.
	logInterval = 5 * time.Second
	// maxNames is the maximum number of paths and kinds in a log line, those with the most bytes first.
	maxNames = 8
	// gcTimeMetric is the runtime metric of the garbage collector's processor time.
	gcTimeMetric = "/cpu/classes/gc/total:cpu-seconds"
)

// Source returns the cost so far of calls by path, or of datagrams by kind.
type Source func() map[string]wire.Stats

// StartLogging logs the increase since the previous log line every logInterval, until g stops.
func StartLogging(g *run.Group, log *slog.Logger, sources ...Source) {
	r := &reporter{log: log, sources: sources}
	r.used = processCPUTime()
	g.Every(logInterval, func(context.Context) { r.report() })
}

// reporter logs the load of a process and keeps the values at the previous log line.
type reporter struct {
	log     *slog.Logger
	sources []Source
	stats   map[string]wire.Stats
	used    cpuTime
}

// report logs the increase since its previous call.
func (r *reporter) report() {
	now, before := MergeStats(r.sources...), r.stats
	usedNow, usedBefore := processCPUTime(), r.used
	r.stats, r.used = now, usedNow
	r.log.Info("calls served", "forMs", logInterval.Milliseconds(), "processorMs", (usedNow.all - usedBefore.all).Milliseconds(),
		"collectorMs", (usedNow.collector - usedBefore.collector).Milliseconds(), "by", formatLargest(now, before))
}

// MergeStats returns the statistics of all sources in one map.
func MergeStats(sources ...Source) map[string]wire.Stats {
	all := map[string]wire.Stats{}
	for _, source := range sources {
		maps.Copy(all, source())
	}
	return all
}

// cpuTime is the processor time used by this process and by its garbage collector.
type cpuTime struct{ all, collector time.Duration }

// processCPUTime returns the processor time used so far.
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

// formatLargest formats the paths and kinds with the largest increase in bytes between two counts, with their calls,
// bytes in and out, and time in the handler.
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
