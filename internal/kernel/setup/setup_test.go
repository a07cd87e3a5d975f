package setup

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

var testSettings = []Setting{
	{Name: "name", Check: Name, Doc: "a name"},
	{Name: "addr", Default: "127.0.0.1:80", Check: Address, Doc: "an address"},
	{Name: "seeds", Default: "127.0.0.1:1", Check: Addresses, Doc: "seeds"},
	{Name: "n", Default: "3", Check: IntRange(1, 9), Doc: "a number"},
	{Name: "for", Default: "1s", Check: DurationRange(0, time.Minute), Doc: "a span"},
}

func TestSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "f")
	if err := os.WriteFile(file, []byte("name from-file\nn 5\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	wrong := filepath.Join(t.TempDir(), "g")
	if err := os.WriteFile(wrong, []byte("name x\nnome y\nn 99\nzeeds 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args string
		code int
		says string
	}{
		// Every fault is reported, in the file and in the flags.
		{"--config " + wrong, 2, "nome"}, {"--config " + wrong, 2, "zeeds"}, {"--config " + wrong, 2, `setting n = "99"`},
		{"--config " + wrong + " --addr q", 2, `setting addr = "q"`}, {"--what 3 --ever --name x --n 0", 2, "no setting --what"}, {"--what 3 --ever --name x --n 0", 2, "no setting --ever"},
		{"--what 3 --ever --name x --n 0", 2, `setting n = "0"`}, {"--name", 2, "name"},
		{"--name x", 0, ""}, {"--config " + file, 0, ""}, {"--config " + file + " --n 20", 2, `setting n = "20" must be a whole number from 1 to 9`},
		{"", 2, `setting name = ""`}, {"--name x --addr host:80", 2, "must be IP:PORT"}, {"--name x --seeds 1.1.1.1:1,2.2.2.2:2,3.3.3.3:3,4.4.4.4:4", 2, "at most three"},
		{"--name x --for 2h", 2, "must be a duration from 0s to 1m0s"}, {"--name x --what", 2, "what"}, {"--name x more", 2, "unexpected argument"},
		{"--name - --n z", 2, `setting n = "z"`}, {"--config /nowhere", 2, "nowhere"}, {"--help", 0, "usage: prog"},
	} {
		var out, errw bytes.Buffer
		s, code, done := Read("prog", "does things", testSettings, strings.Fields(c.args), &out, &errw)
		if code != c.code || !strings.Contains(out.String()+errw.String(), c.says) {
			t.Errorf("%q: exit code %d, output %q%q", c.args, code, out.String(), errw.String())
		}
		if c.code == 0 && !done && s["name"] == "" {
			t.Errorf("%q: no name", c.args)
		}
		if strings.HasPrefix(c.args, "--config "+file) && code == 0 && (s["name"] != "from-file" || s.Int("n") != 5) {
			t.Errorf("the file was not read: %v", s)
		}
	}
}
