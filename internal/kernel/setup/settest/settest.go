// Package settest checks example settings files against a program's declared settings, for tests.
package settest

import (
	"bytes"
	"path/filepath"
	"testing"

	"drumstall.example/internal/kernel/setup"
)

// CheckExamples reads each deployment's example settings file of a program and fails the test if one is invalid.
func CheckExamples(t *testing.T, program string, rows []setup.Setting) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", "..", "examples", "*", program+".conf"))
	if err != nil || len(files) != 2 {
		t.Fatalf("%v, %v", files, err)
	}
	for _, f := range files {
		var out, errw bytes.Buffer
		if s, code, done := setup.Read(program, "", rows, []string{"--config", f}, &out, &errw); done || code != 0 || s["name"] == "" {
			t.Errorf("%s: code %d, %s", f, code, errw.String())
		}
	}
}
