// Package relay passes an answer on piece by piece, at the client's pace, and
// never lets a broken one look whole.
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
	// pieceLimit is how long a client may take over one piece, and limitEvery how often the limit is set anew, which
	// may lengthen it by as much. Why: a stream has tens of pieces a second, and setting it costs as much as writing one.
	chunkTimeout     = 30 * time.Second
	deadlineInterval = 5 * time.Second
)

// Stream is the body of an answer to a client.
type Stream struct {
	source      io.ReadCloser
	deadline    time.Time
	done        func()
	interrupted *atomic.Int64 // counts streams that broke off
	once        sync.Once
}

// New relays from a reply to a client that may take it until a moment; done is called once,
// however it ends.
func New(from io.ReadCloser, cut *atomic.Int64, until time.Time, done func()) *Stream {
	return &Stream{source: from, deadline: until, done: done, interrupted: cut}
}

// pieceBy is by when a piece that is written now must have been taken.
func (s *Stream) writeDeadline(now time.Time) time.Time {
	by := now.Add(chunkTimeout + deadlineInterval)
	if s.deadline.Before(by) {
		return s.deadline
	}
	return by
}

// Read is for completeness; goa prefers WriteTo.
func (s *Stream) Read(p []byte) (int, error) { return s.source.Read(p) }

// Close ends the attempt, and with it the replica's work where it still goes on.
func (s *Stream) Close() error {
	s.once.Do(func() {
		_ = s.source.Close()
		s.done()
	})
	return nil
}

// WriteTo copies until the end. A break on either side aborts the connection: goa
// would end the answer cleanly if nothing had been written yet, so it is not
// given the choice.
func (s *Stream) WriteTo(w io.Writer) (int64, error) {
	rw, _ := w.(http.ResponseWriter)
	var rc *http.ResponseController
	if rw != nil {
		rc = http.NewResponseController(rw)
	}
	buf := make([]byte, 16<<10)
	var total int64
	var limitedAt time.Time // when the limit was set last
	for {
		n, err := s.source.Read(buf)
		if n > 0 {
			if now := time.Now(); rc != nil && now.Sub(limitedAt) >= deadlineInterval {
				_ = rc.SetWriteDeadline(s.writeDeadline(now))
				limitedAt = now
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

type readLimitKey struct{}

// WithReadLimit gives the handler a bound on how long the client may take to
// send its body, and the means to end the bound.
func WithReadLimit(h http.Handler, limit time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rc := http.NewResponseController(w)
		_ = rc.SetReadDeadline(time.Now().Add(limit))
		end := func() { _ = rc.SetReadDeadline(time.Time{}) }
		h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), readLimitKey{}, end)))
	})
}

// BodyRead ends the bound set by WithReadLimit.
func EndReadLimit(ctx context.Context) {
	if end, ok := ctx.Value(readLimitKey{}).(func()); ok {
		end()
	}
}
