package fleet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"drumstall.example/internal/conf"
)

func TestBadRequests(t *testing.T) {
	Seeds(t, 1, either, func(f *Fleet) {
		time.Sleep(time.Second)
		base := "http://" + f.Spots()[0].Addr + "/v1/routes/"
		model, service := f.D.Flows[1].Route, f.D.Flows[0].Route
		for _, c := range []struct {
			path, body string
			status     int
		}{
			{"nowhere", "{}", 404}, {model, "{}", 400}, {model + "?model=none", "{}", 404}, {model + "?model=model-01&adapter=none", "{}", 404},
			{service, strings.Repeat("x", 1<<20+1), 413}, {model + "?model=model-01", "not json", 503},
		} {
			res, err := f.opHTTP.Post(base+c.path, "application/json", strings.NewReader(c.body))
			if err != nil {
				f.T.Errorf("%s: %v", c.path, err)
				continue
			}
			b, _ := io.ReadAll(res.Body)
			_ = res.Body.Close()
			if res.StatusCode != c.status && !(c.status == 503 && res.StatusCode >= 500) || res.Header.Get("Drumstall-Outcome") == "" {
				f.T.Errorf("%s: %d %s, want %d with an outcome", c.path, res.StatusCode, b, c.status)
			}
		}
		// A caller that stalls in its body is timed out.
		c, err := f.Net.Host("10.8.0.3").Dial(context.Background(), "tcp", f.Spots()[0].Addr)
		if err != nil {
			f.T.Fatal(err)
		}
		began := time.Now()
		fmt.Fprintf(c, "POST /v1/routes/%s HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf", service)
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || res.StatusCode != 400 || time.Since(began) > 20*time.Second {
			f.T.Errorf("a stalled caller: %v, %v after %v", res, err, time.Since(began))
		}
		_ = c.Close()
	})
}

func TestBadConfigurations(t *testing.T) {
	Seeds(t, 1, either, func(f *Fleet) {
		op := "http://" + f.Cores[0].IP + ":7001/v1/config"
		send := func(method, body, match string) (int, string) {
			req, _ := http.NewRequest(method, op, strings.NewReader(body))
			if match != "" {
				req.Header.Set("If-Match", match)
			}
			res, err := f.opHTTP.Do(req)
			if err != nil {
				f.T.Fatal(err)
			}
			defer res.Body.Close()
			b, _ := io.ReadAll(res.Body)
			return res.StatusCode, string(b)
		}
		if code, b := send("PUT", `{"models":{"m":{"sizeMib":0,"x":1}},"routes":{"r":{"kind":"odd","class":"no"}}}`, ""); code != 400 ||
			!strings.Contains(b, "models/m.sizeMib") || !strings.Contains(b, "models/m.x") || !strings.Contains(b, "routes/r.kind") {
			f.T.Errorf("a bad configuration: %d %s", code, b)
		}
		if code, b := send("PUT", string(f.D.Config), `"99"`); code != 412 {
			f.T.Errorf("a stale serial: %d %s", code, b)
		}
		if code, b := send("PUT", strings.Repeat(" ", conf.MaxBytes+1), ""); code != 413 {
			f.T.Errorf("too large: %d %s", code, b)
		}
		if b, _ := f.ReadBack(0); string(b) != string(f.D.Config) {
			f.T.Error("a refused configuration left something behind")
		}
		for _, n := range f.Cores[1:] {
			f.KillCore(n, false)
		}
		time.Sleep(5 * time.Second)
		if code, b := send("PUT", string(f.D.Config), ""); code != 503 || !strings.Contains(b, "nothing was kept") && !strings.Contains(b, "not known") {
			f.T.Errorf("without a quorum: %d %s", code, b)
		}
		for _, n := range f.Cores[1:] {
			f.StartCore(n)
		}
	})
}
