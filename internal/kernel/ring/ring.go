// Package ring implements a log handler that keeps the latest lines in a ring buffer and writes them out when
// an error is logged.
package ring

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"

	"github.com/gammazero/deque"
)

// Ring is a slog.Handler that buffers lines in memory until an error is logged.
type Ring struct {
	shared *buffer
	text   slog.Handler
}

// buffer holds the lines; it is shared by a Ring and the handlers derived from it.
type buffer struct {
	mu        sync.Mutex
	lines     deque.Deque[string]
	buf       bytes.Buffer
	max       int
	out       io.Writer
	unwritten int // lines not yet written out
	immediate bool
}

// New returns a Ring that keeps max lines and writes them to out when a line of error level is logged.
func New(out io.Writer, max int) *Ring {
	s := &buffer{max: max, out: out}
	return &Ring{shared: s, text: slog.NewTextHandler(&s.buf, &slog.HandlerOptions{Level: slog.LevelDebug})}
}

// NewImmediate returns a Ring that keeps max lines and writes each line to out at once.
func NewImmediate(out io.Writer, max int) *Ring {
	r := New(out, max)
	r.shared.immediate = true
	return r
}

// Logger returns a logger that writes to the ring.
func (r *Ring) Logger() *slog.Logger { return slog.New(r) }

// Enabled returns true for every level: buffering is cheap, and lines are written out only with errors.
func (r *Ring) Enabled(context.Context, slog.Level) bool { return true }

// Handle buffers a line, and writes out the buffered lines if it is of error level.
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
	// The lines before an error help to explain it; lines that were already written are not written again.
	for i := max(0, s.lines.Len()-s.unwritten); i < s.lines.Len(); i++ {
		if _, err := io.WriteString(s.out, s.lines.At(i)); err != nil {
			return err
		}
	}
	s.unwritten = 0
	return nil
}

// WithAttrs returns a handler with additional attributes and the same buffer.
func (r *Ring) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Ring{shared: r.shared, text: r.text.WithAttrs(attrs)}
}

// WithGroup returns a handler with a group for the following attributes and the same buffer.
func (r *Ring) WithGroup(name string) slog.Handler {
	return &Ring{shared: r.shared, text: r.text.WithGroup(name)}
}

// Lines returns a copy of the buffered lines.
func (r *Ring) Lines() []string {
	r.shared.mu.Lock()
	defer r.shared.mu.Unlock()
	out := make([]string, 0, r.shared.lines.Len())
	for i := range r.shared.lines.Len() {
		out = append(out, r.shared.lines.At(i))
	}
	return out
}
