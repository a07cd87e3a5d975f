package backend

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/wire"
)

func fetchReport(t *testing.T, status int, body string) (Report, error) {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	defer srv.Close()
	c := NewNative(wire.HostNetwork())
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return c.Report(ctx, Target{Addr: strings.TrimPrefix(srv.URL, "http://"), ID: "r1"})
}

const validHead = `"id":"r1","incarnation":"i","kind":"model","slots":2,"inflight":0,"leaving":false`

// An invalid report is always an error.
func TestInvalidReportsAreRejected(t *testing.T) {
	v, err := fetchReport(t, 200, `{`+validHead+`,"capacityMib":10,"models":[{"name":"m","state":"loaded","sizeMib":4,"inflight":1,"adapters":[{"name":"a","state":"loading","inflight":0}]}]}`)
	if err != nil || v.Items[conf.Item{Model: "m"}].SizeMib != 4 || v.Items[conf.Item{Model: "m", Adapter: "a"}].State != Loading {
		t.Fatalf("a valid report: %+v %v", v, err)
	}
	for name, body := range map[string]string{
		"different ID":    strings.Replace(`{`+validHead+`}`, "r1", "r2", 1),
		"no incarnation":  strings.Replace(`{`+validHead+`}`, `"i"`, `""`, 1),
		"no slots":        strings.Replace(`{`+validHead+`}`, `"slots":2`, `"slots":0`, 1),
		"negative":        strings.Replace(`{`+validHead+`}`, `"inflight":0`, `"inflight":-3`, 1),
		"negative memory": `{` + validHead + `,"capacityMib":-1}`,
		"unknown state":   `{` + validHead + `,"models":[{"name":"m","state":"asleep","sizeMib":1,"inflight":0}]}`,
		"a model twice":   `{` + validHead + `,"models":[{"name":"m","state":"loaded","sizeMib":1,"inflight":0},{"name":"m","state":"loaded","sizeMib":1,"inflight":0}]}`,
		"a null model":    `{` + validHead + `,"models":[null]}`,
		"an invalid name": `{` + validHead + `,"models":[{"name":"m/x","state":"loaded","sizeMib":1,"inflight":0}]}`,
		"missing fields":  `{"id":"r1"}`,
		"no JSON":         `<html>`,
		"nothing":         ``,
		"too large":       `{` + validHead + `,"models":[` + strings.Repeat(" ", 5<<20) + `]}`,
		"a null":          `null`,
		"another type":    `[1,2]`,
		"a list of slots": strings.Replace(`{`+validHead+`}`, `"slots":2`, `"slots":[2]`, 1),
	} {
		if v, err := fetchReport(t, 200, body); !errors.Is(err, ErrInvalidReport) && !errors.Is(err, ErrUnreachable) {
			t.Errorf("%s: accepted as %+v, %v", name, v, err)
		}
	}
	if _, err := fetchReport(t, 500, `{`+validHead+`}`); err == nil {
		t.Error("a report with status 500 was accepted")
	}
}

func TestOrderErrors(t *testing.T) {
	for _, c := range []struct {
		status int
		body   string
		want   error
	}{
		{202, "", nil},
		{409, `{"name":"busy","detail":"in use","outcome":"not-run"}`, ErrRefused},
		{412, `{"name":"stale","detail":"a higher epoch","outcome":"not-run"}`, ErrRefused},
		{500, `oops`, ErrOutcomeUnknown}, {200, ``, ErrOutcomeUnknown}, {307, ``, ErrOutcomeUnknown},
	} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			w.Header().Set("Drumstall-Outcome", "not-run")
			w.Header().Set("goa-error", map[int]string{409: "busy", 412: "stale"}[c.status])
			w.WriteHeader(c.status)
			_, _ = io.WriteString(w, c.body)
		}))
		conn := NewNative(wire.HostNetwork())
		err := conn.Order(t.Context(), Target{Addr: strings.TrimPrefix(srv.URL, "http://")}, Order{ID: "1", Verb: Load, Item: conf.Item{Model: "m"}, Epoch: 1, Controller: "c"})
		if c.want == nil && err != nil || c.want != nil && !errors.Is(err, c.want) {
			t.Errorf("status %d: got %v, want %v", c.status, err, c.want)
		}
		conn.Close()
		srv.Close()
	}
	conn := NewNative(wire.HostNetwork())
	defer conn.Close()
	if err := conn.Order(t.Context(), Target{Addr: "127.0.0.1:1"}, Order{ID: "1", Verb: Load, Item: conf.Item{Model: "m"}}); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("connection refused: %v", err)
	}
}
