package wire

import (
	"fmt"
	"go/ast"
	"go/types"
	"os"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"testing"

	"drumstall.example/internal/kernel/source"
)

// messageFields lists every numbered field of every message in a source tree, as
// 'package.Type number Field type'.
func messageFields(t *testing.T, root string) []string {
	var out []string
	err := source.ParseFiles(root, 0, func(path string, file *ast.File) error {
		ast.Inspect(file, func(n ast.Node) bool {
			spec, ok := n.(*ast.TypeSpec)
			if !ok {
				return true
			}
			st, ok := spec.Type.(*ast.StructType)
			if !ok {
				return true
			}
			for _, f := range st.Fields.List {
				if f.Tag == nil {
					continue
				}
				raw, _ := strconv.Unquote(f.Tag.Value)
				tag, opts, _ := strings.Cut(reflect.StructTag(raw).Get("cbor"), ",")
				if tag == "" {
					continue
				}
				if !strings.Contains(opts, "keyasint") {
					t.Errorf("%s: %s.%s has no number", path, spec.Name.Name, f.Names[0].Name)
				}
				out = append(out, fmt.Sprintf("%s.%s %s %s %s", file.Name.Name, spec.Name.Name, tag, f.Names[0].Name, types.ExprString(f.Type)))
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	sort.Strings(out)
	return out
}

// Versions run side by side, and data directories outlive them: a field keeps its
// number and type for ever, and the number of a removed field is not
// reused. testdata/messages.txt lists all fields that were ever sent; new fields are
// added to it.
func TestMessageFieldsStayCompatible(t *testing.T) {
	b, err := os.ReadFile("testdata/messages.txt")
	if err != nil {
		t.Fatal(err)
	}
	listed := map[string]string{} // type and number: field and type
	for _, line := range strings.Split(strings.TrimSpace(string(b)), "\n") {
		w := strings.SplitN(line, " ", 3)
		if len(w) != 3 {
			t.Fatalf("testdata/messages.txt: %q", line)
		}
		listed[w[0]+" "+w[1]] = w[2]
	}
	current := map[string]bool{}
	for _, line := range messageFields(t, "../..") {
		w := strings.SplitN(line, " ", 3)
		key := w[0] + " " + w[1]
		if current[key] {
			t.Errorf("%s is used twice", key)
		}
		current[key] = true
		switch old, known := listed[key]; {
		case !known:
			t.Errorf("new, to be added to testdata/messages.txt: %s", line)
		case strings.SplitN(old, " ", 2)[1] != strings.SplitN(w[2], " ", 2)[1]:
			t.Errorf("%s is %q now and was %q: an earlier version cannot read it", key, w[2], old)
		}
	}
	if len(current) < 50 {
		t.Errorf("only %d fields found", len(current))
	}
}
