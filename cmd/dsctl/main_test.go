package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// core answers like a core's operators' API, with one status.
func startCore(t *testing.T, status int, outcome, body string, seen *[]string) string {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		*seen = append(*seen, r.Method+" "+r.URL.String()+" "+r.Header.Get("If-Match")+" "+r.Header.Get("Content-Type")+" "+string(b))
		w.Header().Set("Drumstall-Outcome", outcome)
		w.Header().Set("ETag", `"7"`)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

func TestExitCodesAndCoresAsked(t *testing.T) {
	dir := t.TempDir()
	file, objects, bad := filepath.Join(dir, "c.json"), filepath.Join(dir, "c.yaml"), filepath.Join(dir, "bad.json")
	for p, b := range map[string]string{file: `{"models":{"m":{"sizeMib":2}}}`, objects: "kind: Model\n", bad: `{"models":{"m":{}}}`} {
		if err := os.WriteFile(p, []byte(b), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var seen []string
	ok := startCore(t, 200, "ran", `{"models":{"m":{"sizeMib":1},"n":{"sizeMib":3}}}`, &seen)
	none := startCore(t, 503, "not-run", `{"detail":"no quorum; nothing was kept"}`, &seen)
	lost := startCore(t, 503, "unknown", `{"detail":"it is not known"}`, &seen)
	stale := startCore(t, 412, "not-run", `{"detail":"the serial now is 9"}`, &seen)
	wrong := startCore(t, 400, "not-run", `{"detail":"refused whole","faults":["models/m.sizeMib: must be given"]}`, &seen)
	for _, c := range []struct {
		args string
		code int
		says string
		asks int
	}{
		{"--cores " + ok + " config put " + file, 0, "serial 7", 1},
		{"--cores " + none + "," + ok + " config put " + file, 0, "serial 7", 2},
		{"--cores 127.0.0.1:1," + ok + " config put " + file, 0, "serial 7", 1},
		{"--cores " + none + " config put " + file, 1, "nothing was kept", 1},
		{"--cores " + lost + "," + ok + " config put " + file, 3, "not known", 1},
		{"--cores " + stale + " config put --if-match 3 " + file, 4, "serial now is 9", 1},
		{"--cores " + wrong + " config put " + file, 1, "models/m.sizeMib", 1},
		{"--cores " + ok + " config put " + objects, 0, "serial 7", 1},
		{"--cores " + ok + " config rm models/m", 0, "serial 7", 1},
		{"--cores " + ok + " config diff " + file, 0, "- models/n", 1},
		{"--cores " + ok + " config diff " + bad, 1, "must be given", 0},
		{"--cores " + ok + " config get --what models/m", 0, "sizeMib", 1},
		{"--cores " + ok + " config put", 2, "want one FILE", 0},
		{"--cores " + ok + " config rm models", 2, "KIND/NAME", 0},
		{"--cores nowhere status", 2, "must be IP:PORT", 0},
		{"--cores " + ok + " runbook rescue --survivor x --lost a", 2, "--survivor", 0},
		{"--cores " + ok + " runbook drain-zone", 2, "want one ZONE", 0},
		{"config settings", 0, "passMinutes", 0},
		{"frob", 2, `no command "frob"`, 0}, {"config frob", 2, `no command "frob"`, 0}, {"runbook frob", 2, `no command "frob"`, 0}, {"--what", 2, "", 0}, {"", 2, "USAGE", 0}, {"--help", 0, "USAGE", 0}, {"runbook --help", 0, "replace-core", 0},
	} {
		seen = nil
		var out, errw bytes.Buffer
		code := run(context.Background(), strings.Fields(c.args), &out, &errw)
		if all := out.String() + errw.String(); code != c.code || !strings.Contains(all, c.says) || len(seen) != c.asks {
			t.Errorf("%q: code %d, asked %d times, said %q", c.args, code, len(seen), all)
		}
		if strings.Contains(c.args, ".yaml") && !strings.Contains(seen[0], "application/yaml") {
			t.Errorf("objects were sent as %s", seen[0])
		}
		if strings.Contains(c.args, "--if-match") && !strings.Contains(seen[0], " 3 ") {
			t.Errorf("If-Match was not sent: %s", seen[0])
		}
	}
}
