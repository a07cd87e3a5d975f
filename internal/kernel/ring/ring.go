// Package ring keeps the latest log lines in memory and writes them out when
// something goes wrong.
package ring

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"

	"github.com/gammazero/deque"
)

// Ring is a slog handler whose lines stay in memory until an error is logged.
type Ring struct {
	shared *buffer
	text   slog.Handler
}

type buffer struct {
	mu        sync.Mutex
	lines     deque.Deque[string]
	buf       bytes.Buffer
	max       int
	out       io.Writer
	unwritten int // lines not yet written out
	immediate bool
}

// New keeps max lines and writes them to out when a line of error level comes.
func New(out io.Writer, max int) *Ring {
	s := &buffer{max: max, out: out}
	return &Ring{shared: s, text: slog.NewTextHandler(&s.buf, &slog.HandlerOptions{Level: slog.LevelDebug})}
}

// NewLoud keeps max lines and writes each to out at once.
func NewImmediate(out io.Writer, max int) *Ring {
	r := New(out, max)
	r.shared.immediate = true
	return r
}

// Logger is a slog logger on the ring.
func (r *Ring) Logger() *slog.Logger { return slog.New(r) }

// Enabled takes every level: the ring is cheap and only errors are shown.
func (r *Ring) Enabled(context.Context, slog.Level) bool { return true }

// Handle keeps the line, and writes out the ring when the line is an error.
func (r *Ring) Handle(ctx context.Context, rec slog.Record) error {
	s := r.shared
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buf.Reset()
	if err := r.text.Handle(ctx, rec); err != nil {
		return err
	}
	s.lines.PushBack(s.buf.String())
	s.unwritten++
	if s.lines.Len() > s.max {
		s.lines.PopFront()
	}
	if rec.Level < slog.LevelError && !s.immediate {
		return nil
	}
	// Why: what led up to an error explains it; lines already shown are not shown twice.
	for i := max(0, s.lines.Len()-s.unwritten); i < s.lines.Len(); i++ {
		if _, err := io.WriteString(s.out, s.lines.At(i)); err != nil {
			return err
		}
	}
	s.unwritten = 0
	return nil
}

// WithAttrs and WithGroup share the same lines.
func (r *Ring) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Ring{shared: r.shared, text: r.text.WithAttrs(attrs)}
}

// WithGroup names a group for the attributes that follow.
func (r *Ring) WithGroup(name string) slog.Handler {
	return &Ring{shared: r.shared, text: r.text.WithGroup(name)}
}

// Lines is a copy of what is kept.
func (r *Ring) Lines() []string {
	r.shared.mu.Lock()
	defer r.shared.mu.Unlock()
	out := make([]string, 0, r.shared.lines.Len())
	for i := range r.shared.lines.Len() {
		out = append(out, r.shared.lines.At(i))
	}
	return out
}
