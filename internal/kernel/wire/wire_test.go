package wire

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"drumstall.example/internal/kernel/run"
)

type testMessage struct {
	N int               `cbor:"1,keyasint"`
	M map[string]string `cbor:"2,keyasint,omitempty"`
}

func TestMalformedRequestIsCountedAndNotHandled(t *testing.T) {
	m := NewMux()
	acted := 0
	Handle(m, "/x", func(_ context.Context, v testMessage) (testMessage, error) {
		acted++
		if v.N == 7 {
			return testMessage{}, Refuse("seven", "not that one")
		}
		return v, nil
	})
	srv := httptest.NewServer(m)
	defer srv.Close()
	addr := strings.TrimPrefix(srv.URL, "http://")
	c := NewClient(HostNetwork())
	defer c.Close()
	if a, err := Call[testMessage, testMessage](t.Context(), c, addr, "/x", testMessage{N: 3}); err != nil || a.N != 3 {
		t.Fatalf("%+v %v", a, err)
	}
	if _, err := Call[testMessage, testMessage](t.Context(), c, addr, "/x", testMessage{N: 7}); Code(err) != "seven" {
		t.Errorf("a refusal was returned as %v", err)
	}
	acted = 0
	for name, c := range map[string]struct {
		speaks string
		body   io.Reader
		status int
	}{
		"garbled":       {ProtocolVersion, strings.NewReader("\xff\x00nonsense"), 400},
		"cut":           {ProtocolVersion, strings.NewReader(string(Marshal(testMessage{N: 5, M: map[string]string{"a": "b"}})[:4])), 400},
		"newer version": {"2", strings.NewReader(string(Marshal(testMessage{N: 5}))), 505},
		"no version":    {"", strings.NewReader(string(Marshal(testMessage{N: 5}))), 505},
		"oversized":     {ProtocolVersion, io.LimitReader(zeros{}, MaxMessage+10), 413},
	} {
		before := m.Malformed()
		req, _ := http.NewRequest(http.MethodPost, srv.URL+"/x", c.body)
		req.Header.Set("Drumstall-Speaks", c.speaks)
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(name, err)
		}
		_ = res.Body.Close()
		if res.StatusCode != c.status || m.Malformed() != before+1 || acted != 0 || res.Header.Get("Drumstall-Speaks") != ProtocolVersion {
			t.Errorf("%s: status %d, counted %d, acted %d", name, res.StatusCode, m.Malformed()-before, acted)
		}
	}
	// Fields of newer builds are ignored.
	type newer struct {
		N   int    `cbor:"1,keyasint"`
		New string `cbor:"9,keyasint"`
	}
	if a, err := Call[newer, testMessage](t.Context(), c, addr, "/x", newer{N: 4, New: "x"}); err != nil || a.N != 4 {
		t.Errorf("a message with a new field: %+v %v", a, err)
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

func FuzzTake(f *testing.F) {
	f.Add(Marshal(datagram{Version: ProtocolVersion, Kind: "k", Body: Marshal(testMessage{N: 1})}))
	f.Add([]byte("\xa3\x01\x61\x31\x02"))
	f.Fuzz(func(t *testing.T, b []byte) {
		p := NewDatagramSocket(nil)
		took := 0
		p.Handle("k", func(body []byte) {
			took++
			var v testMessage
			_ = Unmarshal(body, &v)
		})
		p.Dispatch(b)
		if int64(took)+p.Malformed() != 1 {
			t.Errorf("the datagram was neither handled once nor counted once as malformed")
		}
	})
}

// Drain after Quiesce, which has already closed the listener, returns no error.
func TestQuiesceThenDrain(t *testing.T) {
	for range 200 {
		ln, err := HostNetwork().Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := NewServer(ln, NewMux())
		g := run.NewGroup(t.Context())
		g.Go(s.Run)
		res, err := http.Get("http://" + ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		http.DefaultClient.CloseIdleConnections()
		s.Quiesce(t.Context(), 0)
		if err := s.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		g.Stop()
	}
}

// Each request is either handled once, or counted as malformed and answered with an error status.
func FuzzCall(f *testing.F) {
	f.Add(Marshal(testMessage{N: 3}), ProtocolVersion)
	f.Add([]byte("\xff\x00nonsense"), ProtocolVersion)
	f.Add([]byte("\xbf\x61\x61"), "2")
	f.Fuzz(func(t *testing.T, b []byte, speaks string) {
		m, acted := NewMux(), int64(0)
		Handle(m, "/x", func(_ context.Context, v testMessage) (testMessage, error) { acted++; return v, nil })
		r := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader(string(b)))
		r.Header["Drumstall-Speaks"] = []string{speaks}
		w := httptest.NewRecorder()
		m.ServeHTTP(w, r)
		if acted+m.Malformed() != 1 || (w.Code == http.StatusOK) != (acted == 1) {
			t.Errorf("status %d, acted on %d times, counted %d", w.Code, acted, m.Malformed())
		}
	})
}
