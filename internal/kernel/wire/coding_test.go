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

var long = text{Text: strings.Repeat("a line of a configuration\n", 4000)}

// peer serves h and gives its address.
func peer(t *testing.T, h http.Handler) string {
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

func caller(t *testing.T) *Caller {
	c := NewCaller(Host())
	t.Cleanup(c.Close)
	return c
}

func echo(_ context.Context, v text) (text, error) { return v, nil }

func TestALargeMessageTravelsCompressedBothWays(t *testing.T) {
	m := NewMux()
	HandleLarge(m, "/echo", echo)
	addr, c := peer(t, m), caller(t)
	got, err := CallLarge[text](t.Context(), c, addr, "/echo", Prepare(long))
	if err != nil || got != long {
		t.Fatalf("%d bytes came back, %v", len(got.Text), err)
	}
	if calls, sent := c.Sent(); calls != 1 || sent > int64(len(long.Text)/20) {
		t.Errorf("%d calls, %d bytes for a message of %d", calls, sent, len(long.Text))
	}
}

func TestASmallMessageTravelsPlain(t *testing.T) {
	m := NewMux()
	HandleLarge(m, "/echo", echo)
	short := text{Text: strings.Repeat("a", codedFrom/2)}
	c := caller(t)
	got, err := CallLarge[text](t.Context(), c, peer(t, m), "/echo", Prepare(short))
	if err != nil || got != short {
		t.Fatalf("%d bytes came back, %v", len(got.Text), err)
	}
	if _, sent := c.Sent(); sent < codedFrom {
		t.Errorf("%d bytes for two messages of %d", sent, len(short.Text))
	}
}

// earlier answers as a build does that knows of no coding.
func earlier(m *Mux, coded *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Content-Encoding") != "" {
			coded.Add(1)
		}
		r.Header.Del("Content-Encoding")
		r.Header.Del("Accept-Encoding")
		m.ServeHTTP(w, r)
	})
}

func TestAnEarlierBuildGetsAPlainMessage(t *testing.T) {
	m := NewMux()
	HandleLarge(m, "/echo", echo)
	var coded atomic.Int64
	addr, c := peer(t, earlier(m, &coded)), caller(t)
	for range 3 {
		if got, err := CallLarge[text](t.Context(), c, addr, "/echo", Prepare(long)); err != nil || got != long {
			t.Fatalf("%d bytes came back, %v", len(got.Text), err)
		}
	}
	if n := coded.Load(); n != 1 {
		t.Errorf("it was sent %d compressed messages, want one try", n)
	}
}

func TestOnlyWhoReadsTheCodingGetsACompressedAnswer(t *testing.T) {
	m := NewMux()
	HandleLarge(m, "/echo", echo)
	r := httptest.NewRequest(http.MethodPost, "/echo", bytes.NewReader(Pack(long)))
	r.Header.Set("Drumstall-Speaks", Speaks)
	w := httptest.NewRecorder()
	m.ServeHTTP(w, r)
	if w.Header().Get("Content-Encoding") != "" || !bytes.Equal(w.Body.Bytes(), Pack(long)) {
		t.Errorf("%d bytes, coding %q", w.Body.Len(), w.Header().Get("Content-Encoding"))
	}
}

func TestACompressedMessageThatCannotBeReadIsRefused(t *testing.T) {
	whole := compress(Pack(long))
	for name, c := range map[string]struct {
		coding string
		body   []byte
		status int
	}{
		"no such coding": {"br", whole, http.StatusUnsupportedMediaType},
		"not compressed": {gzipCoding, Pack(long), http.StatusBadRequest},
		"cut":            {gzipCoding, whole[:len(whole)/2], http.StatusBadRequest},
		"too large":      {gzipCoding, compress(make([]byte, MaxMessage+1)), http.StatusBadRequest},
	} {
		m := NewMux()
		HandleLarge(m, "/echo", echo)
		r := httptest.NewRequest(http.MethodPost, "/echo", bytes.NewReader(c.body))
		r.Header.Set("Drumstall-Speaks", Speaks)
		r.Header.Set("Content-Encoding", c.coding)
		w := httptest.NewRecorder()
		m.ServeHTTP(w, r)
		if w.Code != c.status || m.Garbled() != 1 {
			t.Errorf("%s: status %d, counted %d", name, w.Code, m.Garbled())
		}
	}
}

func TestACompressedAnswerThatCannotBeReadIsCounted(t *testing.T) {
	addr := peer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Encoding", gzipCoding)
		_, _ = w.Write(Pack(long))
	}))
	c := caller(t)
	if _, err := Call[text, text](t.Context(), c, addr, "/echo", long); !errors.Is(err, ErrGarbled) || c.Garbled() != 1 {
		t.Errorf("%v, counted %d", err, c.Garbled())
	}
}
