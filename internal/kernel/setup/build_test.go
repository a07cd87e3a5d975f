package setup

import (
	"debug/elf"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// Only dsfleet and dsscale, which are proof, may start processes: one package has the means, and nobody else uses it.
func TestOnlyTheProofStartsProcesses(t *testing.T) {
	root := filepath.Join("..", "..", "..")
	may := map[string][]string{
		`"os/exec"`: {filepath.Join("internal", "sim", "process")},
		`"drumstall.example/internal/sim/process"`: {filepath.Join("cmd", "dsfleet"), filepath.Join("cmd", "dsscale")},
	}
	seen := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		folder, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return err
		}
		seen++
		for _, i := range f.Imports {
			if folders, guarded := may[i.Path.Value]; guarded && !slices.Contains(folders, folder) {
				t.Errorf("%s can start processes", path)
			}
		}
		return nil
	})
	if err != nil || seen < 50 {
		t.Fatalf("%d files, %v", seen, err)
	}
}

// The programs are linked to the C library, as the machines expect.
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
			t.Skip("no ELF here")
		}
		t.Fatal(err)
	}
	defer f.Close()
	libs, err := f.ImportedLibraries()
	if err != nil || !slices.ContainsFunc(libs, func(l string) bool { return strings.HasPrefix(l, "libc.") }) {
		t.Errorf("it is linked to %v, %v (CGO_ENABLED=%q)", libs, err, os.Getenv("CGO_ENABLED"))
	}
}
