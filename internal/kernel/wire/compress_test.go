package wire

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
)

// text is a message that compresses well.
type text struct {
	Text string `cbor:"1,keyasint"`
}

var largeText = text{Text: strings.Repeat("a line of a configuration\n", 4000)}

// serveTestPeer starts a server with h and returns its address.
func serveTestPeer(t *testing.T, h http.Handler) string {
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

func newTestClient(t *testing.T) *Client {
	c := NewClient(HostNetwork())
	t.Cleanup(c.Close)
	return c
}

func echo(_ context.Context, v text) (text, error) { return v, nil }

func TestLargeMessageIsCompressedBothWays(t *testing.T) {
	m := NewMux()
	HandleCompressed(m, "/echo", echo)
	addr, c := serveTestPeer(t, m), newTestClient(t)
	got, err := CallEncoded[text](t.Context(), c, addr, "/echo", EncodeMessage(largeText))
	if err != nil || got != largeText {
		t.Fatalf("%d bytes came back, %v", len(got.Text), err)
	}
	if calls, sent := c.Sent(); calls != 1 || sent > int64(len(largeText.Text)/20) {
		t.Errorf("%d calls, %d bytes for a message of %d", calls, sent, len(largeText.Text))
	}
}

func TestSmallMessageIsNotCompressed(t *testing.T) {
	m := NewMux()
	HandleCompressed(m, "/echo", echo)
	short := text{Text: strings.Repeat("a", minCompressSize/2)}
	c := newTestClient(t)
	got, err := CallEncoded[text](t.Context(), c, serveTestPeer(t, m), "/echo", EncodeMessage(short))
	if err != nil || got != short {
		t.Fatalf("%d bytes came back, %v", len(got.Text), err)
	}
	if _, sent := c.Sent(); sent < minCompressSize {
		t.Errorf("%d bytes for two messages of %d", sent, len(short.Text))
	}
}

// withoutEncodings behaves like an earlier build, which ignores content encodings, and counts compressed requests.
func withoutEncodings(m *Mux, coded *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Content-Encoding") != "" {
			coded.Add(1)
		}
		r.Header.Del("Content-Encoding")
		r.Header.Del("Accept-Encoding")
		m.ServeHTTP(w, r)
	})
}

func TestPeerWithoutCompressionGetsUncompressedMessage(t *testing.T) {
	m := NewMux()
	HandleCompressed(m, "/echo", echo)
	var coded atomic.Int64
	addr, c := serveTestPeer(t, withoutEncodings(m, &coded)), newTestClient(t)
	for range 3 {
		if got, err := CallEncoded[text](t.Context(), c, addr, "/echo", EncodeMessage(largeText)); err != nil || got != largeText {
			t.Fatalf("%d bytes came back, %v", len(got.Text), err)
		}
	}
	if n := coded.Load(); n != 1 {
		t.Errorf("the peer was sent %d compressed messages, want 1", n)
	}
}

func TestResponseIsUncompressedWithoutAcceptEncoding(t *testing.T) {
	m := NewMux()
	HandleCompressed(m, "/echo", echo)
	r := httptest.NewRequest(http.MethodPost, "/echo", bytes.NewReader(Marshal(largeText)))
	r.Header.Set("Drumstall-Speaks", ProtocolVersion)
	w := httptest.NewRecorder()
	m.ServeHTTP(w, r)
	if w.Header().Get("Content-Encoding") != "" || !bytes.Equal(w.Body.Bytes(), Marshal(largeText)) {
		t.Errorf("%d bytes, coding %q", w.Body.Len(), w.Header().Get("Content-Encoding"))
	}
}

func TestMalformedCompressedMessageIsRefused(t *testing.T) {
	whole := compress(Marshal(largeText))
	for name, c := range map[string]struct {
		coding string
		body   []byte
		status int
	}{
		"no such coding": {"br", whole, http.StatusUnsupportedMediaType},
		"not compressed": {gzipEncoding, Marshal(largeText), http.StatusBadRequest},
		"cut":            {gzipEncoding, whole[:len(whole)/2], http.StatusBadRequest},
		"too large":      {gzipEncoding, compress(make([]byte, MaxMessage+1)), http.StatusBadRequest},
	} {
		m := NewMux()
		HandleCompressed(m, "/echo", echo)
		r := httptest.NewRequest(http.MethodPost, "/echo", bytes.NewReader(c.body))
		r.Header.Set("Drumstall-Speaks", ProtocolVersion)
		r.Header.Set("Content-Encoding", c.coding)
		w := httptest.NewRecorder()
		m.ServeHTTP(w, r)
		if w.Code != c.status || m.Malformed() != 1 {
			t.Errorf("%s: status %d, counted %d", name, w.Code, m.Malformed())
		}
	}
}

func TestMalformedCompressedResponseIsCounted(t *testing.T) {
	addr := serveTestPeer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Encoding", gzipEncoding)
		_, _ = w.Write(Marshal(largeText))
	}))
	c := newTestClient(t)
	if _, err := Call[text, text](t.Context(), c, addr, "/echo", largeText); !errors.Is(err, ErrMalformed) || c.Malformed() != 1 {
		t.Errorf("%v, counted %d", err, c.Malformed())
	}
}
