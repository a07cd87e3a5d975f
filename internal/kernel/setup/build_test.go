package setup

import (
	"debug/elf"
	"go/ast"
	"go/parser"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"drumstall.example/internal/kernel/source"
)

// Only the test tools dsfleet and dsscale may start processes: one package imports os/exec, and only they import it.
func TestOnlyTestToolsStartProcesses(t *testing.T) {
	root := filepath.Join("..", "..", "..")
	allowed := map[string][]string{
		`"os/exec"`: {filepath.Join("internal", "sim", "process")},
		`"drumstall.example/internal/sim/process"`: {filepath.Join("cmd", "dsfleet"), filepath.Join("cmd", "dsscale")},
	}
	seen := 0
	err := source.ParseFiles(root, parser.ImportsOnly, func(path string, f *ast.File) error {
		folder, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return err
		}
		seen++
		for _, i := range f.Imports {
			if folders, guarded := allowed[i.Path.Value]; guarded && !slices.Contains(folders, folder) {
				t.Errorf("%s can start processes", path)
			}
		}
		return nil
	})
	if err != nil || seen < 50 {
		t.Fatalf("%d files, %v", seen, err)
	}
}

// The programs are linked dynamically to the C library, as the target machines require.
func TestProgramsLinkTheCLibrary(t *testing.T) {
	if testing.Short() {
		t.Skip("builds a program")
	}
	bin := filepath.Join(t.TempDir(), "dsproxy")
	if out, err := exec.Command("go", "build", "-o", bin, "drumstall.example/cmd/dsproxy").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	f, err := elf.Open(bin)
	if err != nil {
		if _, is := err.(*elf.FormatError); is {
			t.Skip("the platform does not use ELF binaries")
		}
		t.Fatal(err)
	}
	defer f.Close()
	libs, err := f.ImportedLibraries()
	if err != nil || !slices.ContainsFunc(libs, func(l string) bool { return strings.HasPrefix(l, "libc.") }) {
		t.Errorf("the program is linked to %v, %v (CGO_ENABLED=%q)", libs, err, os.Getenv("CGO_ENABLED"))
	}
}
