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
	interval = 5 * time.Second
	// shown is how many paths and kinds a line names, those with the most bytes first.
	shown = 8
	// collecting is the processor time of the garbage collector.
	collecting = "/cpu/classes/gc/total:cpu-seconds"
)

// Source is what the calls at each path, or the datagrams of each kind, have cost so far.
type Source func() map[string]wire.Stats

// Watch logs every few seconds what was added since the line before, until g stops.
func Watch(g *run.Group, log *slog.Logger, sources ...Source) {
	w := &watch{log: log, sources: sources}
	w.used = used()
	g.Every(interval, func(context.Context) { w.tell() })
}

type watch struct {
	log     *slog.Logger
	sources []Source
	served  map[string]wire.Stats
	used    usage
}

// tell logs what was added since it was last called.
func (w *watch) tell() {
	now, before := Served(w.sources...), w.served
	usedNow, usedBefore := used(), w.used
	w.served, w.used = now, usedNow
	w.log.Info("calls served", "forMs", interval.Milliseconds(), "processorMs", (usedNow.all - usedBefore.all).Milliseconds(),
		"collectorMs", (usedNow.collector - usedBefore.collector).Milliseconds(), "by", most(now, before))
}

// Served is what all sources tell.
func Served(sources ...Source) map[string]wire.Stats {
	all := map[string]wire.Stats{}
	for _, source := range sources {
		maps.Copy(all, source())
	}
	return all
}

// usage is processor time of this process.
type usage struct{ all, collector time.Duration }

// used is the processor time used so far.
func used() usage {
	var u usage
	var r unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &r) == nil {
		u.all = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	}
	sample := []metrics.Sample{{Name: collecting}}
	metrics.Read(sample)
	u.collector = time.Duration(sample[0].Value.Float64() * float64(time.Second))
	return u
}

// most names what grew most in bytes between two counts: calls, bytes in and out, time in the handler.
func most(now, before map[string]wire.Stats) string {
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
	for _, name := range names[:min(len(names), shown)] {
		s := grown[name]
		out = append(out, fmt.Sprintf("%s calls=%d in=%d out=%d tookMs=%d", name, s.Calls, s.In, s.Out, s.Took.Milliseconds()))
	}
	return strings.Join(out, "; ")
}
