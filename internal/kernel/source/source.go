// Package source reads this project's own source, for tests that hold documents, messages and imports to it.
package source

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
)

// Files parses every Go file below a folder that is not a test, and gives each with its path.
func ParseFiles(folder string, mode parser.Mode, do func(path string, file *ast.File) error) error {
	return filepath.WalkDir(folder, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, mode)
		if err != nil {
			return err
		}
		return do(path, file)
	})
}
