package review

import (
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"
	"testing"
	"time"
)

// longest is how long a case may run.
const longest = 115 * time.Second

// cases by name; each gives an exit code.
var cases = map[string]func(rec *record, trouble bool) int{}

// TestMain runs one case; it is built as a program by review/build.sh.
func TestMain(*testing.M) {
	if len(os.Args) != 3 {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Println("usage: review-harness CASE RECORD; cases:", names)
		os.Exit(exitCannotRun)
	}
	run := cases[os.Args[1]]
	if run == nil {
		cannotRun("no case %q", os.Args[1])
	}
	rec := newRecord(os.Args[2])
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
			cannotRun("ended by a signal")
		case <-time.After(longest):
			cannotRun("it took longer than %v", longest)
		}
	}()
	code := run(rec, os.Getenv("TROUBLE") != "0")
	rec.put("exit %d", code)
	os.Exit(code)
}
