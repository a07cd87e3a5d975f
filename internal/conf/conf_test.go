package conf

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

func TestConfigurations(t *testing.T) {
	datadriven.RunTest(t, "testdata/conf", func(t *testing.T, d *datadriven.TestData) string {
		base, err := ReadWhole("application/json", []byte(`{"classes":{"staff":{}},"routes":{"fees":{"kind":"model", "class":"staff"}},"models":{"m":{"sizeMib":10,"adapters":["a"]}}}`))
		if err != nil {
			t.Fatal(err)
		}
		var k Stored
		switch d.Cmd {
		case "whole":
			k, err = ReadWhole("application/json", []byte(d.Input))
		case "partial":
			k, err = ReadPartial(base, "application/json", []byte(d.Input))
		case "objects":
			k, err = ReadPartial(base, "application/yaml", []byte(d.Input))
			for at, doc := range k.Originals {
				if !bytes.Contains([]byte(d.Input), bytes.TrimSpace(doc)) {
					t.Errorf("%s is not kept as sent", at)
				}
			}
		default:
			d.Fatalf(t, "no command %s", d.Cmd)
		}
		if f, ok := err.(ValidationErrors); ok {
			return strings.Join(f, "\n")
		}
		if !bytes.Equal(k.Submission, []byte(d.Input)) {
			t.Fatal("the submission is not kept as sent")
		}
		var b strings.Builder
		for _, at := range sorted(k.Objects) {
			fmt.Fprintf(&b, "%s %s\n", at, k.Objects[at])
		}
		return b.String()
	})
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"models":{"m":{"sizeMib":1}}}`))
	f.Add([]byte(`{"replace":{"routes":{}},"remove":{"models":["m"]}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		k, err := ReadWhole("", b)
		if err == nil {
			if _, err := Compile(k); err != nil {
				t.Fatalf("kept a configuration that has no effect: %v", err)
			}
		}
		_, _ = ReadPartial(k, "", b)
		if o, err := ReadWhole("application/yaml", b); err == nil {
			if _, err := Compile(o); err != nil {
				t.Fatalf("kept objects that have no effect: %v", err)
			}
		}
		_, _ = Unpack(b)
	})
}
