package conf

import (
	"fmt"
	"strings"
	"testing"
)

const linesType = "text/x-lines"

// lines is a small format: "version N" and then the names of services.
type linesFormat struct{}

func (linesFormat) ContentType() string { return linesType }

func (linesFormat) Read(e Effective, document []byte) (Effective, error) {
	for _, name := range strings.Fields(string(document))[1:] {
		if name == "bad" {
			return e, fmt.Errorf("%s is no service", name)
		}
		e.Services[name] = Service{Selector: ServiceSelector(name)}
		if name == "split" {
			e.Routes[name] = Route{Name: name, Split: []Share{{Service: name}}}
		}
	}
	return e, nil
}

func (linesFormat) Check([]byte) error { return nil }

func (linesFormat) Version(document []byte) (uint64, error) {
	var n uint64
	_, err := fmt.Sscan(string(document), &n)
	return n, err
}

func (linesFormat) Merge(document, change []byte) ([]byte, error) {
	if string(change) == "unreadable" {
		return nil, ValidationErrors{"unreadable"}
	}
	version, more, _ := strings.Cut(string(change), " ")
	_, old, _ := strings.Cut(string(document), " ")
	return []byte(version + " " + old + " " + more), nil
}

func registerLinesFormat(t *testing.T) {
	RegisterFormat(linesFormat{})
	t.Cleanup(func() { delete(formats, linesType) })
}

func uint64Ptr(n uint64) *uint64 { return &n }

func wholeOf(body string, on *uint64) Change {
	return Change{Mode: Whole, ContentType: linesType, Body: []byte(body), IfMatch: on}
}

func partialOf(body string, on *uint64) Change {
	return Change{Mode: Partial, ContentType: linesType, Body: []byte(body), IfMatch: on}
}

// applied applies a change that must be kept.
func mustApply(t *testing.T, k Stored, c Change) Stored {
	t.Helper()
	a, err := k.Apply(c)
	if err != nil || a.Duplicate || a.Stale {
		t.Fatalf("%s: %+v, %v", c.Body, a, err)
	}
	return a.Stored
}

// refused applies a change that must be refused with nothing kept.
func mustRefuse(t *testing.T, k Stored, c Change, want string) {
	t.Helper()
	a, err := k.Apply(c)
	faults, isFaults := err.(ValidationErrors)
	if !isFaults || !strings.Contains(faults.Error(), want) {
		t.Errorf("%s: got %v, want a fault with %q", c.Body, err, want)
	}
	if a.Stored.Submission != nil || a.Duplicate || a.Stale {
		t.Errorf("%s: refused, and yet %+v", c.Body, a)
	}
}

func TestFormatWholeAndPartialChanges(t *testing.T) {
	registerLinesFormat(t)
	k := mustApply(t, Stored{}, wholeOf("4 a b", nil))
	if k.Version != 4 || k.Serial != 1 || k.Format != linesType || string(k.Submission) != "4 a b" {
		t.Errorf("whole: %+v", k)
	}
	k = mustApply(t, k, partialOf("7 c", uint64Ptr(4)))
	if k.Version != 7 || k.Serial != 2 || k.Mode != Partial || string(k.Submission) != "7 a b c" {
		t.Errorf("partial: %+v", k)
	}
	e, err := Compile(k)
	if err != nil || len(e.Services) != 3 {
		t.Errorf("in force: %v, %v", e.Services, err)
	}
	k = mustApply(t, k, wholeOf("8 z", uint64Ptr(7)))
	if e, _ := Compile(k); len(e.Services) != 1 {
		t.Errorf("a whole one leaves %v of the one before", e.Services)
	}
}

func TestRepeatedChangeIsDuplicate(t *testing.T) {
	registerLinesFormat(t)
	changes := []Change{wholeOf("1 a", nil), partialOf("2 b", uint64Ptr(1)), partialOf("3 c", nil), wholeOf("9 d", uint64Ptr(3))}
	var k Stored
	for _, c := range changes {
		k = mustApply(t, k, c)
		for _, c := range changes[:k.Serial] {
			if a, err := k.Apply(c); err != nil || !a.Duplicate || a.Stale {
				t.Errorf("%s sent again at version %d: %+v, %v", c.Body, k.Version, a, err)
			}
		}
	}
	// The same body on top of another version is another change.
	if a, err := k.Apply(partialOf("2 b", uint64Ptr(9))); err == nil || a.Duplicate {
		t.Errorf("another change with the same body: %+v, %v", a, err)
	}
}

func TestChangeOnOtherVersionIsStale(t *testing.T) {
	registerLinesFormat(t)
	k := mustApply(t, Stored{}, wholeOf("5 a", uint64Ptr(0)))
	for _, c := range []Change{partialOf("6 b", uint64Ptr(4)), partialOf("6 b", uint64Ptr(6)), wholeOf("6 b", uint64Ptr(0)), wholeOf("bad", uint64Ptr(1))} {
		if a, err := k.Apply(c); err != nil || !a.Stale || a.Stored.Submission != nil {
			t.Errorf("%s on %d: %+v, %v", c.Body, *c.IfMatch, a, err)
		}
	}
}

func TestLoserOfConcurrentChangesIsStale(t *testing.T) {
	registerLinesFormat(t)
	k := mustApply(t, Stored{}, wholeOf("5 a", nil))
	k = mustApply(t, k, partialOf("6 first", uint64Ptr(5)))
	if a, err := k.Apply(partialOf("6 second", uint64Ptr(5))); err != nil || !a.Stale {
		t.Errorf("the second: %+v, %v", a, err)
	}
	if a, err := k.Apply(partialOf("6 first", uint64Ptr(5))); err != nil || !a.Duplicate {
		t.Errorf("the first once more: %+v, %v", a, err)
	}
}

func TestVersionMustIncrease(t *testing.T) {
	registerLinesFormat(t)
	k := mustApply(t, Stored{}, wholeOf("5 a", nil))
	mustRefuse(t, k, wholeOf("5 b", nil), "version 5 is not above the current 5")
	mustRefuse(t, k, partialOf("4 b", uint64Ptr(5)), "version 4 is not above the current 5")
	mustRefuse(t, k, wholeOf("x b", nil), "")
	mustRefuse(t, Stored{}, partialOf("1 a", nil), "no configuration in this format")
}

func TestInvalidChangeIsRefusedEntirely(t *testing.T) {
	registerLinesFormat(t)
	k := mustApply(t, Stored{}, wholeOf("5 a", nil))
	before := string(k.Pack())
	mustRefuse(t, k, wholeOf("6 good bad", nil), "bad is no service")
	mustRefuse(t, k, partialOf("6 bad", uint64Ptr(5)), "bad is no service")
	mustRefuse(t, k, partialOf("unreadable", uint64Ptr(5)), "unreadable")
	mustRefuse(t, k, wholeOf("6 split", nil), "the weights sum to 0")
	if string(k.Pack()) != before {
		t.Error("what is kept has changed")
	}
	if a, err := k.Apply(wholeOf("6 good bad", nil)); err == nil || a.Duplicate {
		t.Error("a change that was refused is taken for one that was kept")
	}
}

func TestNativePartialChangeOverFormatIsRefused(t *testing.T) {
	registerLinesFormat(t)
	k := mustApply(t, Stored{}, wholeOf("5 a", nil))
	native := Change{Mode: Partial, ContentType: "application/json", Body: []byte(`{"replace":{"models":{"m":{"sizeMib":1}}}}`)}
	mustRefuse(t, k, native, "it can only be replaced whole")
	native = Change{Mode: Whole, ContentType: "application/json", Body: []byte(`{"models":{"m":{"sizeMib":1}}}`), IfMatch: uint64Ptr(1)}
	if k = mustApply(t, k, native); k.Format != "" || k.Serial != 2 {
		t.Errorf("a native whole one: %+v", k)
	}
	mustRefuse(t, k, partialOf("9 b", nil), "no configuration in this format")
}

func TestPackKeepsRecentChanges(t *testing.T) {
	registerLinesFormat(t)
	k := mustApply(t, mustApply(t, Stored{}, wholeOf("1 a", nil)), partialOf("2 b", uint64Ptr(1)))
	got, err := Unpack(k.Pack())
	if err != nil || string(got.Pack()) != string(k.Pack()) || got.Version != 2 || len(got.Recent) != 2 {
		t.Fatalf("%+v, %v", got, err)
	}
	if a, err := got.Apply(wholeOf("1 a", nil)); err != nil || !a.Duplicate {
		t.Errorf("the first sent again: %+v, %v", a, err)
	}
	delete(formats, linesType)
	if _, err := Compile(got); err == nil {
		t.Error("a format that is not known was read")
	}
}

func TestRecentChangesAreBounded(t *testing.T) {
	registerLinesFormat(t)
	var k Stored
	for i := range maxRecentChanges + 10 {
		k = mustApply(t, k, wholeOf(fmt.Sprint(i+1, " a"), nil))
	}
	if len(k.Recent) != maxRecentChanges {
		t.Errorf("%d are remembered", len(k.Recent))
	}
	if a, err := k.Apply(wholeOf(fmt.Sprint(11, " a"), nil)); err != nil || !a.Duplicate {
		t.Errorf("the oldest one remembered: %+v, %v", a, err)
	}
	mustRefuse(t, k, wholeOf("10 a", nil), "is not above")
}
