package relay

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

type brokenReader struct {
	chunks []string
	err    error
}

func (b *brokenReader) Read(p []byte) (int, error) {
	if len(b.chunks) == 0 {
		return 0, b.err
	}
	n := copy(p, b.chunks[0])
	b.chunks = b.chunks[1:]
	return n, nil
}
func (*brokenReader) Close() error { return nil }

// However early a stream breaks off, the caller sees a broken answer: goa's
// handler would end one cleanly that broke before its first byte.
func TestInterruptedStreamAbortsResponse(t *testing.T) {
	for _, c := range []struct {
		pieces string
		err    error
		whole  bool
	}{{"", errors.New("cut"), false}, {"a", errors.New("cut"), false}, {"a b c", io.ErrUnexpectedEOF, false}, {"a b", io.EOF, true}, {"", io.EOF, true}} {
		var cut atomic.Int64
		done := 0
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s := New(&brokenReader{strings.Fields(c.pieces), c.err}, &cut, time.Now().Add(time.Minute), func() { done++ })
			defer s.Close()
			w.WriteHeader(http.StatusOK)
			_, _ = s.WriteTo(w)
		}))
		res, err := http.Get(srv.URL)
		var got []byte
		if err == nil {
			got, err = io.ReadAll(res.Body)
			_ = res.Body.Close()
		}
		if (err == nil) != c.whole {
			t.Errorf("%q then %v: the caller saw %q, %v", c.pieces, c.err, got, err)
		}
		srv.Close()
		if done != 1 {
			t.Errorf("%q then %v: let go %d times", c.pieces, c.err, done)
		}
		if (cut.Load() == 0) != c.whole {
			t.Errorf("%q then %v: counted %d cuts", c.pieces, c.err, cut.Load())
		}
	}
}
