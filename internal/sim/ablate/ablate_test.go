// Package ablate takes one remedy at a time away and looks which test notices.
package ablate

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

const root = "../../.."

// remedy is one row of testdata/remedies.
type remedy struct {
	rule, name, file, pkg, tests string
	old, new                     string
}

func remedies(t *testing.T) []remedy {
	var out []remedy
	datadriven.RunTest(t, "testdata/remedies", func(t *testing.T, d *datadriven.TestData) string {
		var r remedy
		d.ScanArgs(t, "rule", &r.rule)
		d.ScanArgs(t, "file", &r.file)
		d.ScanArgs(t, "pkg", &r.pkg)
		d.ScanArgs(t, "tests", &r.tests)
		r.name = strings.ReplaceAll(d.Cmd, "-", " ")
		var found bool
		if r.old, r.new, found = strings.Cut(d.Input, "\n=>\n"); !found {
			r.old, r.new = strings.TrimSuffix(d.Input, "\n=>"), ""
		}
		b, err := os.ReadFile(filepath.Join(root, r.file))
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		// Why: a table that no longer fits the code would prove nothing.
		if n := strings.Count(string(b), r.old); n != 1 {
			d.Fatalf(t, "what is to be taken away stands %d times in %s", n, r.file)
		}
		out = append(out, r)
		return ""
	})
	return out
}

var verdict = regexp.MustCompile(`(?m)^ *--- (PASS|FAIL): (\S+)`)

// TestRemedies holds the table to the code. With DRUMSTALL_ABLATE=REGEXP it takes each remedy of a
// matching name away in turn, runs the tests that should notice, and fails for one that nothing notices.
func TestRemedies(t *testing.T) {
	all := remedies(t)
	want := os.Getenv("DRUMSTALL_ABLATE")
	if want == "" {
		return
	}
	pick := regexp.MustCompile(want)
	base, err := filepath.Abs(root)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range all {
		if !pick.MatchString(r.name) {
			continue
		}
		dir := t.TempDir()
		b, _ := os.ReadFile(filepath.Join(base, r.file))
		changed := filepath.Join(dir, "changed.go")
		if err := os.WriteFile(changed, []byte(strings.Replace(string(b), r.old, r.new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		overlay, _ := json.Marshal(map[string]any{"Replace": map[string]string{filepath.Join(base, r.file): changed}})
		over := filepath.Join(dir, "overlay.json")
		if err := os.WriteFile(over, overlay, 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command("go", "test", "-count=1", "-vet=off", "-overlay", over, "-run", r.tests, "-v", r.pkg)
		cmd.Dir = base
		raw, _ := cmd.CombinedOutput()
		ran, failed := 0, 0
		leaf := map[string]string{}
		for _, m := range verdict.FindAllStringSubmatch(string(raw), -1) {
			leaf[m[2]] = m[1]
		}
		for name, word := range leaf {
			inner := false
			for other := range leaf {
				inner = inner || strings.HasPrefix(other, name+"/")
			}
			if inner {
				continue
			}
			ran++
			if word == "FAIL" {
				failed++
			}
		}
		rules := map[string]bool{}
		for _, m := range regexp.MustCompile(`rule (\d+) \(`).FindAllStringSubmatch(string(raw), -1) {
			rules[m[1]] = true
		}
		breached := ""
		for i := 1; i <= 11; i++ {
			if rules[fmt.Sprint(i)] {
				breached += fmt.Sprintf(" %d", i)
			}
		}
		fmt.Printf("| %s | %s | `%s` | %d of %d |%s |\n", r.rule, r.name, r.tests, failed, ran, breached)
		if failed == 0 {
			tail := string(raw)
			t.Errorf("%s: nothing noticed\n%s", r.name, tail[max(0, len(tail)-600):])
		}
	}
}
