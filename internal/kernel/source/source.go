// Package source parses this project's own source code, for tests that compare documents, messages and imports with it.
package source

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
)

// ParseFiles parses every Go file below a folder except tests, and calls do with the path and syntax tree of each.
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
