package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Just the entries that name a test of CI are passed over; runs of scripts and days stay entries alone.
func TestOnlyTestsThatAreKnownToFailArePassedOver(t *testing.T) {
	script, err := filepath.Abs("../../.ci/known_red.sh")
	if err != nil {
		t.Fatal(err)
	}
	for entries, want := range map[string]string{
		"": "",
		"fleetbench run SITE DAY (no test of CI): CONFIG 1; issue 1\n":                                "",
		"test TestA/(x|y)$ go test ./a: seen; issue 1\nreview/1/run.sh: seen\ntest TestB$; issue 2\n": "TestA/(x|y)$|TestB$",
	} {
		folder := t.TempDir()
		if err := os.WriteFile(filepath.Join(folder, "KNOWN-RED.txt"), []byte(entries), 0o600); err != nil {
			t.Fatal(err)
		}
		command := exec.Command("bash", "-c", `source "$0" && known_red_tests`, script)
		command.Dir = folder
		got, err := command.Output()
		if err != nil || strings.TrimSpace(string(got)) != want {
			t.Errorf("%q: %q, %v", entries, got, err)
		}
	}
}
