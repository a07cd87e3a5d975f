package check

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// lateMs is from when on a first piece counts as late.
const lateMs = 2000

// causes of not being served, by what the answer said.
var causes = []struct{ says, cause string }{
	{"it will be loaded too late", "pace: loaded too late"},
	{"wanted more now", "csf test"},
	{"no replica can load it now", "room in use or pinned"},
	{"too many wait ahead", "places: too many ahead"},
	{"would begin after the deadline", "places: too late to begin"},
	{"deadline passed", "deadline"},
	{"too_late", "deadline"},
	{"no controller answers", "no controller"},
	{"holding", "holding full"},
	{"budget for retries", "retry budget"},
	{"hears nobody", "out of touch"},
}

// Cause says in a word why a request was not served.
func Cause(e Event) string {
	for _, c := range causes {
		if strings.Contains(e.Why, c.says) {
			return c.cause
		}
	}
	return e.Outcome
}

// Account is what one class's callers got.
type Account struct {
	Attempts int            `json:"attempts"`
	Served   int            `json:"served"`
	Late     int            `json:"late"` // served, with a first piece after 2 s
	Not      map[string]int `json:"not"`  // by cause
	// Callers: served at once, served when they came back as told, and not.
	AtOnce, OnReturn, Never int
	// Returned is how many came back as told.
	Returned int
}

// Accounts sums up by class. A caller's second attempt names the first as Of.
func Accounts(events []Event) map[string]Account {
	out := map[string]Account{}
	back := map[string]string{} // second ticket: first
	answered := map[string]Event{}
	for _, e := range events {
		switch {
		case e.Kind == Sent && e.Of != "":
			back[e.Ticket] = e.Of
		case e.Kind == Answer:
			answered[e.Ticket] = e
		}
	}
	again := map[string]string{}
	for second, first := range back {
		again[first] = second
	}
	for ticket, e := range answered {
		a := out[e.Class]
		if a.Not == nil {
			a.Not = map[string]int{}
		}
		a.Attempts++
		if e.Outcome == Whole {
			if a.Served++; e.FirstMs > lateMs {
				a.Late++
			}
		} else {
			a.Not[Cause(e)]++
		}
		second, came := again[ticket]
		switch {
		case back[ticket] != "": // counted with the first
		case e.Outcome == Whole:
			a.AtOnce++
		case came && answered[second].Outcome == Whole:
			a.OnReturn++
		default:
			a.Never++
		}
		if came {
			a.Returned++
		}
		out[e.Class] = a
	}
	return out
}

// PrintAccounts writes them as rows of a table.
func PrintAccounts(w io.Writer, accounts map[string]Account) {
	for _, class := range slices.Sorted(maps.Keys(accounts)) {
		a := accounts[class]
		fmt.Fprintf(w, "| %s | %d | %d | %d | %d / %d / %d | %d of %d |", class, a.Attempts, a.Served, a.Late, a.AtOnce, a.OnReturn, a.Never, a.OnReturn, a.Returned)
		for _, c := range slices.SortedFunc(maps.Keys(a.Not), func(x, y string) int { return a.Not[y] - a.Not[x] }) {
			fmt.Fprintf(w, " %s %d;", c, a.Not[c])
		}
		fmt.Fprintln(w, " |")
	}
}
