package conf

import (
	"fmt"
	"strings"
	"testing"
)

const linesType = "text/x-lines"

// lines is a small format: "version N" and then the names of services.
type lines struct{}

func (lines) ContentType() string { return linesType }

func (lines) Read(e Effective, document []byte) (Effective, error) {
	for _, name := range strings.Fields(string(document))[1:] {
		if name == "bad" {
			return e, fmt.Errorf("%s is no service", name)
		}
		e.Services[name] = Service{Selector: OfService(name)}
		if name == "split" {
			e.Routes[name] = Route{Name: name, Split: []Share{{Service: name}}}
		}
	}
	return e, nil
}

func (lines) Check([]byte) error { return nil }

func (lines) Version(document []byte) (uint64, error) {
	var n uint64
	_, err := fmt.Sscan(string(document), &n)
	return n, err
}

func (lines) Merge(document, change []byte) ([]byte, error) {
	if string(change) == "unreadable" {
		return nil, Faults{"unreadable"}
	}
	version, more, _ := strings.Cut(string(change), " ")
	_, old, _ := strings.Cut(string(document), " ")
	return []byte(version + " " + old + " " + more), nil
}

func withLines(t *testing.T) {
	RegisterFormat(lines{})
	t.Cleanup(func() { delete(formats, linesType) })
}

func number(n uint64) *uint64 { return &n }

func whole(body string, on *uint64) Change {
	return Change{Manner: Whole, ContentType: linesType, Body: []byte(body), IfMatch: on}
}

func part(body string, on *uint64) Change {
	return Change{Manner: Partial, ContentType: linesType, Body: []byte(body), IfMatch: on}
}

// applied applies a change that must be kept.
func applied(t *testing.T, k Kept, c Change) Kept {
	t.Helper()
	a, err := k.Apply(c)
	if err != nil || a.Again || a.Stale {
		t.Fatalf("%s: %+v, %v", c.Body, a, err)
	}
	return a.Kept
}

// refused applies a change that must be refused with nothing kept.
func refused(t *testing.T, k Kept, c Change, want string) {
	t.Helper()
	a, err := k.Apply(c)
	faults, isFaults := err.(Faults)
	if !isFaults || !strings.Contains(faults.Error(), want) {
		t.Errorf("%s: got %v, want a fault with %q", c.Body, err, want)
	}
	if a.Kept.Submission != nil || a.Again || a.Stale {
		t.Errorf("%s: refused, and yet %+v", c.Body, a)
	}
}

func TestWholeAndPartialChangesOfAFormat(t *testing.T) {
	withLines(t)
	k := applied(t, Kept{}, whole("4 a b", nil))
	if k.Version != 4 || k.Serial != 1 || k.Format != linesType || string(k.Submission) != "4 a b" {
		t.Errorf("whole: %+v", k)
	}
	k = applied(t, k, part("7 c", number(4)))
	if k.Version != 7 || k.Serial != 2 || k.Manner != Partial || string(k.Submission) != "7 a b c" {
		t.Errorf("partial: %+v", k)
	}
	e, err := Effect(k)
	if err != nil || len(e.Services) != 3 {
		t.Errorf("in force: %v, %v", e.Services, err)
	}
	k = applied(t, k, whole("8 z", number(7)))
	if e, _ := Effect(k); len(e.Services) != 1 {
		t.Errorf("a whole one leaves %v of the one before", e.Services)
	}
}

func TestAChangeSentAgainIsKnown(t *testing.T) {
	withLines(t)
	changes := []Change{whole("1 a", nil), part("2 b", number(1)), part("3 c", nil), whole("9 d", number(3))}
	var k Kept
	for _, c := range changes {
		k = applied(t, k, c)
		for _, c := range changes[:k.Serial] {
			if a, err := k.Apply(c); err != nil || !a.Again || a.Stale {
				t.Errorf("%s sent again at version %d: %+v, %v", c.Body, k.Version, a, err)
			}
		}
	}
	// The same body on top of another version is another change.
	if a, err := k.Apply(part("2 b", number(9))); err == nil || a.Again {
		t.Errorf("another change with the same body: %+v, %v", a, err)
	}
}

func TestAChangeOnAnotherVersionIsStale(t *testing.T) {
	withLines(t)
	k := applied(t, Kept{}, whole("5 a", number(0)))
	for _, c := range []Change{part("6 b", number(4)), part("6 b", number(6)), whole("6 b", number(0)), whole("bad", number(1))} {
		if a, err := k.Apply(c); err != nil || !a.Stale || a.Kept.Submission != nil {
			t.Errorf("%s on %d: %+v, %v", c.Body, *c.IfMatch, a, err)
		}
	}
}

func TestOfTwoThatRaceOneIsStale(t *testing.T) {
	withLines(t)
	k := applied(t, Kept{}, whole("5 a", nil))
	k = applied(t, k, part("6 first", number(5)))
	if a, err := k.Apply(part("6 second", number(5))); err != nil || !a.Stale {
		t.Errorf("the second: %+v, %v", a, err)
	}
	if a, err := k.Apply(part("6 first", number(5))); err != nil || !a.Again {
		t.Errorf("the first once more: %+v, %v", a, err)
	}
}

func TestAVersionMustRise(t *testing.T) {
	withLines(t)
	k := applied(t, Kept{}, whole("5 a", nil))
	refused(t, k, whole("5 b", nil), "version 5 is not above the current 5")
	refused(t, k, part("4 b", number(5)), "version 4 is not above the current 5")
	refused(t, k, whole("x b", nil), "")
	refused(t, Kept{}, part("1 a", nil), "no configuration in this format")
}

func TestWhatIsInvalidIsRefusedWhole(t *testing.T) {
	withLines(t)
	k := applied(t, Kept{}, whole("5 a", nil))
	before := string(k.Pack())
	refused(t, k, whole("6 good bad", nil), "bad is no service")
	refused(t, k, part("6 bad", number(5)), "bad is no service")
	refused(t, k, part("unreadable", number(5)), "unreadable")
	refused(t, k, whole("6 split", nil), "the weights sum to 0")
	if string(k.Pack()) != before {
		t.Error("what is kept has changed")
	}
	if a, err := k.Apply(whole("6 good bad", nil)); err == nil || a.Again {
		t.Error("a change that was refused is taken for one that was kept")
	}
}

func TestANativePartialOverAFormatIsRefused(t *testing.T) {
	withLines(t)
	k := applied(t, Kept{}, whole("5 a", nil))
	native := Change{Manner: Partial, ContentType: "application/json", Body: []byte(`{"replace":{"models":{"m":{"sizeMib":1}}}}`)}
	refused(t, k, native, "it can only be replaced whole")
	native = Change{Manner: Whole, ContentType: "application/json", Body: []byte(`{"models":{"m":{"sizeMib":1}}}`), IfMatch: number(1)}
	if k = applied(t, k, native); k.Format != "" || k.Serial != 2 {
		t.Errorf("a native whole one: %+v", k)
	}
	refused(t, k, part("9 b", nil), "no configuration in this format")
}

func TestPackKeepsWhatWasTaken(t *testing.T) {
	withLines(t)
	k := applied(t, applied(t, Kept{}, whole("1 a", nil)), part("2 b", number(1)))
	got, err := Unpack(k.Pack())
	if err != nil || string(got.Pack()) != string(k.Pack()) || got.Version != 2 || len(got.Taken) != 2 {
		t.Fatalf("%+v, %v", got, err)
	}
	if a, err := got.Apply(whole("1 a", nil)); err != nil || !a.Again {
		t.Errorf("the first sent again: %+v, %v", a, err)
	}
	delete(formats, linesType)
	if _, err := Effect(got); err == nil {
		t.Error("a format that is not known was read")
	}
}

func TestOnlySoManyChangesAreRemembered(t *testing.T) {
	withLines(t)
	var k Kept
	for i := range maxTaken + 10 {
		k = applied(t, k, whole(fmt.Sprint(i+1, " a"), nil))
	}
	if len(k.Taken) != maxTaken {
		t.Errorf("%d are remembered", len(k.Taken))
	}
	if a, err := k.Apply(whole(fmt.Sprint(11, " a"), nil)); err != nil || !a.Again {
		t.Errorf("the oldest one remembered: %+v, %v", a, err)
	}
	refused(t, k, whole("10 a", nil), "is not above")
}
