// Package ci tests the scripts that check the whole tree.
package ci

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// fakeGo prints what the next run of `go test` is to print, and notes what it was asked for.
const fakeGo = `#!/usr/bin/env bash
cd "$(dirname "$0")"
echo "$*" >> asked
n=$(wc -l < asked)
cat "out$n"
exit "$(cat "status$n")"
`

// goTest is the output and the exit code of a run of `go test`.
type goTest struct {
	output string
	status int
}

var (
	passes  = goTest{"ok  \ta/b\t1.0s\nok  \ta/c\t2.0s\n", 0}
	crashed = goTest{"SIGSEGV: segmentation violation\nPC=0x157ec99 m=7 sigcode=1 addr=0x0\n\ngoroutine 0 gp=0x1 m=7 mp=0x2 [idle]:\n\nrip    0x157ec99\nFAIL\ta/b\t87.7s\nok  \ta/c\t2.0s\nFAIL\n", 1}
	checked = goTest{"ThreadSanitizer: CHECK failed: sanitizer_common.cpp:1 \"((0)) != (0)\"\nFAIL\ta/b\t0.6s\nFAIL\n", 1}
	failed  = goTest{"--- FAIL: TestThis (0.10s)\nFAIL\nFAIL\ta/b\t1.0s\nFAIL\n", 1}
	raced   = goTest{"WARNING: DATA RACE\nRead at 0x00c0\nFAIL\ta/b\t1.0s\nFAIL\n", 1}
	paniced = goTest{"panic: test timed out after 10m0s\nFAIL\ta/b\t600.0s\nFAIL\n", 1}
	killed  = goTest{"SIGQUIT: quit\nPC=0x47 m=0 sigcode=0\n*** Test killed with quit: ran too long\nFAIL\ta/b\t660.0s\nFAIL\n", 1}
	faulted = goTest{"fatal error: concurrent map writes\nFAIL\ta/b\t1.0s\nFAIL\n", 1}
)

// both is two ends of packages in one run.
func both(x, y goTest) goTest { return goTest{x.output + y.output, 1} }

// Only a package that the detector's own runtime stopped is run again. A run once failed by a fault within that
// runtime, which only "CHECK failed" was known of.
func TestOnlyWhatTheDetectorStoppedIsRunAgain(t *testing.T) {
	for name, c := range map[string]struct {
		runs   []goTest
		passes bool
	}{
		"all passes":                   {[]goTest{passes}, true},
		"a fault in the detector":      {[]goTest{crashed, passes}, true},
		"its check failed":             {[]goTest{checked, passes}, true},
		"one after the other":          {[]goTest{crashed, checked, passes}, true},
		"three times":                  {[]goTest{crashed, crashed, crashed}, false},
		"a test failed":                {[]goTest{failed}, false},
		"a test failed, then a fault":  {[]goTest{both(failed, crashed)}, false},
		"a fault, then a test failed":  {[]goTest{crashed, failed}, false},
		"a race":                       {[]goTest{raced}, false},
		"a race and a fault":           {[]goTest{both(crashed, raced)}, false},
		"a panic":                      {[]goTest{paniced}, false},
		"a panic and a fault":          {[]goTest{both(crashed, paniced)}, false},
		"killed":                       {[]goTest{killed}, false},
		"a fatal error of Go's":        {[]goTest{faulted}, false},
		"a fatal error and a fault":    {[]goTest{both(faulted, crashed)}, false},
		"a check failed, and a test":   {[]goTest{both(checked, failed)}, false},
		"a fault, then a fatal error":  {[]goTest{crashed, faulted}, false},
		"a fault, then killed by time": {[]goTest{crashed, killed}, false},
	} {
		t.Run(name, func(t *testing.T) {
			asked, err := raceTests(t, c.runs)
			if (err == nil) != c.passes {
				t.Errorf("it ended with %v", err)
			}
			if len(asked) != len(c.runs) {
				t.Fatalf("it was run %d times, want %d", len(asked), len(c.runs))
			}
			for i, packages := range asked {
				if want := "./..."; i == 0 && packages != want || i > 0 && packages != "a/b" {
					t.Errorf("run %d was of %s", i+1, packages)
				}
			}
		})
	}
}

// All tests of a package that is run in parts are run, on one processor, and one that fails fails the whole.
func TestAPackageIsRunWholeInParts(t *testing.T) {
	names := goTest{"TestA\nTestB\nok  \ta/b\t0.1s\n", 0}
	for name, c := range map[string]struct {
		run    goTest
		passes bool
	}{"passes": {passes, true}, "a test failed": {failed, false}} {
		t.Run(name, func(t *testing.T) {
			asked, err := scriptRuns(t, "race_parts a/b 1", []goTest{names, c.run})
			if (err == nil) != c.passes {
				t.Errorf("it ended with %v", err)
			}
			if want := []string{"test -list ^Test a/b", "-cpu 1 -parallel 1 -run ^(TestA|TestB)$ a/b"}; !slices.Equal(asked, want) {
				t.Errorf("asked for %q", asked)
			}
		})
	}
}

// raceTests runs the tests of all packages by the script and gives the packages of each run.
func raceTests(t *testing.T, runs []goTest) (asked []string, err error) {
	t.Helper()
	return scriptRuns(t, "race_tests ./...", runs)
}

// scriptRuns calls the script with a go that prints what is given, and gives what each run was of.
func scriptRuns(t *testing.T, call string, runs []goTest) (asked []string, err error) {
	t.Helper()
	dir := t.TempDir()
	put := func(name, text string, mode os.FileMode) {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), mode); err != nil {
			t.Fatal(err)
		}
	}
	put("go", fakeGo, 0o755)
	for i, r := range runs {
		put(fmt.Sprint("out", i+1), r.output, 0o644)
		put(fmt.Sprint("status", i+1), fmt.Sprint(r.status), 0o644)
	}
	script, err := filepath.Abs("../../.ci/race.sh")
	if err != nil {
		t.Fatal(err)
	}
	run := exec.CommandContext(t.Context(), "bash", "-euo", "pipefail", "-c", "source "+script+"; "+call)
	run.Env = append(os.Environ(), "PATH="+dir+string(os.PathListSeparator)+os.Getenv("PATH"))
	out, err := run.CombinedOutput()
	t.Logf("%s", out)
	noted, readErr := os.ReadFile(filepath.Join(dir, "asked"))
	if readErr != nil {
		t.Fatal(readErr)
	}
	for line := range strings.Lines(string(noted)) {
		asked = append(asked, strings.TrimSpace(strings.TrimPrefix(line, "test -count=1 -race -short ")))
	}
	return asked, err
}
