// Package relay streams a backend's answer to the client chunk by chunk at the client's pace. It owns the
// body of the answer and aborts the connection if the stream breaks, so that a broken answer never looks complete.
package relay

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// chunkTimeout bounds the time a client may take for one chunk; deadlineInterval is how often the deadline is renewed,
	// which may extend it by as much. A stream has tens of chunks a second, and setting a deadline costs as much as a write.
	chunkTimeout     = 30 * time.Second
	deadlineInterval = 5 * time.Second
)

// Stream is the body of an answer to a client.
type Stream struct {
	source      io.ReadCloser
	deadline    time.Time
	done        func()
	interrupted *atomic.Int64 // counts interrupted streams
	once        sync.Once
}

// New returns a stream from a reply to a client, which has to receive it before the deadline. done is called
// once, however the stream ends.
func New(from io.ReadCloser, cut *atomic.Int64, until time.Time, done func()) *Stream {
	return &Stream{source: from, deadline: until, done: done, interrupted: cut}
}

// writeDeadline returns the deadline of a chunk written now.
func (s *Stream) writeDeadline(now time.Time) time.Time {
	by := now.Add(chunkTimeout + deadlineInterval)
	if s.deadline.Before(by) {
		return s.deadline
	}
	return by
}

// Read implements io.Reader; goa prefers WriteTo.
func (s *Stream) Read(p []byte) (int, error) { return s.source.Read(p) }

// Close ends the attempt, and with it any work that the replica still does for it.
func (s *Stream) Close() error {
	s.once.Do(func() {
		_ = s.source.Close()
		s.done()
	})
	return nil
}

// WriteTo copies until the end of the source. An error on either side closes the stream and panics with
// http.ErrAbortHandler: if WriteTo returned an error before the first byte was written, goa would end
// the answer cleanly.
func (s *Stream) WriteTo(w io.Writer) (int64, error) {
	rw, _ := w.(http.ResponseWriter)
	var rc *http.ResponseController
	if rw != nil {
		rc = http.NewResponseController(rw)
	}
	buf := make([]byte, 16<<10)
	var total int64
	var deadlineSetAt time.Time // when the deadline was set last
	for {
		n, err := s.source.Read(buf)
		if n > 0 {
			if now := time.Now(); rc != nil && now.Sub(deadlineSetAt) >= deadlineInterval {
				_ = rc.SetWriteDeadline(s.writeDeadline(now))
				deadlineSetAt = now
			}
			m, werr := w.Write(buf[:n])
			total += int64(m)
			if werr == nil && rc != nil {
				werr = rc.Flush()
			}
			if werr != nil {
				_ = s.Close()
				panic(http.ErrAbortHandler)
			}
		}
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			s.interrupted.Add(1)
			_ = s.Close()
			panic(http.ErrAbortHandler)
		}
	}
}

// readLimitKey is the context key of the function that removes the read limit.
type readLimitKey struct{}

// WithReadLimit wraps a handler with a limit on the time the client may take to
// send its body. The handler removes the limit with EndReadLimit.
func WithReadLimit(h http.Handler, limit time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rc := http.NewResponseController(w)
		_ = rc.SetReadDeadline(time.Now().Add(limit))
		end := func() { _ = rc.SetReadDeadline(time.Time{}) }
		h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), readLimitKey{}, end)))
	})
}

// EndReadLimit removes the limit set by WithReadLimit.
func EndReadLimit(ctx context.Context) {
	if end, ok := ctx.Value(readLimitKey{}).(func()); ok {
		end()
	}
}
