package ring

import (
	"go/ast"
	"go/token"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"drumstall.example/internal/kernel/source"
)

// levels maps the methods of a logger that write a line to their levels.
var levels = map[string]string{"Debug": "debug", "Info": "info", "Warn": "warn", "Error": "error"}

// logCall returns the level, the message and the keys of a call that writes a log line. A concatenated message
// is identified by its first literal.
func logCall(call *ast.CallExpr) (row string, ok bool) {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || levels[method.Sel.Name] == "" || len(call.Args) == 0 || !isLogger(method.X) {
		return "", false
	}
	first := call.Args[0]
	if sum, isSum := first.(*ast.BinaryExpr); isSum {
		first = sum.X
	}
	message, ok := literal(first)
	if !ok {
		return "", false
	}
	var keys []string
	for i := 1; i < len(call.Args); i += 2 {
		key, _ := literal(call.Args[i])
		keys = append(keys, key)
	}
	return strings.Join([]string{levels[method.Sel.Name], strings.TrimSpace(message), strings.Join(keys, " ")}, " | "), true
}

// isLogger reports whether the name of an expression is that of a logger.
func isLogger(e ast.Expr) bool {
	switch e := e.(type) {
	case *ast.SelectorExpr:
		return strings.EqualFold(e.Sel.Name, "log")
	case *ast.Ident:
		return strings.EqualFold(e.Name, "log") || strings.EqualFold(e.Name, "logger")
	}
	return false
}

func literal(e ast.Expr) (string, bool) {
	lit, ok := e.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return "", false
	}
	s, err := strconv.Unquote(lit.Value)
	return s, err == nil
}

// logLines lists the log calls in the source of the programs.
func logLines(t *testing.T, folders ...string) []string {
	var out []string
	for _, folder := range folders {
		err := source.ParseFiles(folder, 0, func(_ string, file *ast.File) error {
			ast.Inspect(file, func(n ast.Node) bool {
				if call, isCall := n.(*ast.CallExpr); isCall {
					if row, ok := logCall(call); ok {
						out = append(out, row)
					}
				}
				return true
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

var pageRow = regexp.MustCompile("(?m)^\\| (debug|info|warn|error) \\| `([^`]*)` \\|([^|]*)\\|")

// The documentation page lists every log line in the source, with its level and keys, and no other.
func TestLogPageListsEveryLogLine(t *testing.T) {
	const root = "../../../"
	page, err := os.ReadFile(root + "docs/logs.md")
	if err != nil {
		t.Fatal(err)
	}
	var documented []string
	for _, row := range pageRow.FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, row[1]+" | "+row[2]+" | "+strings.Join(strings.Fields(strings.ReplaceAll(row[3], "`", "")), " "))
	}
	written := logLines(t, root+"internal", root+"platform", root+"cmd")
	if len(written) < 30 {
		t.Fatalf("only %d lines found", len(written))
	}
	for _, line := range written {
		if !slices.Contains(documented, line) {
			t.Errorf("missing on the page: %s", line)
		}
	}
	for _, line := range documented {
		if !slices.Contains(written, line) {
			t.Errorf("on the page, but not in the source: %s", line)
		}
	}
}
