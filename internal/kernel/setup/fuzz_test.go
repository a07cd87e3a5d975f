package setup

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// For any settings file, either all settings are valid, or
// the exit code is 2 and an error is printed.
func FuzzSettingsFile(f *testing.F) {
	f.Add([]byte("name x\nn 5\n"))
	f.Add([]byte("name x\nnome\nn=5\n# c\nfor 2h # no\n"))
	f.Add([]byte("config /nowhere\nname \xff\x00\nseeds ,,,\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		file := filepath.Join(t.TempDir(), "f")
		if err := os.WriteFile(file, b, 0o600); err != nil {
			t.Fatal(err)
		}
		var out, errw bytes.Buffer
		s, code, done := Read("prog", "", testSettings, []string{"--config", file}, &out, &errw)
		if done && (code != 2 || errw.Len() == 0) {
			t.Fatalf("exit code %d, error output %q", code, errw.String())
		}
		for _, r := range testSettings {
			if rule := r.Check(s[r.Name]); !done && rule != "" {
				t.Errorf("%s = %q was accepted, but %s", r.Name, s[r.Name], rule)
			}
		}
	})
}
