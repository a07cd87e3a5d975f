package review2

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a script.
const (
	held   = 0
	broken = 1
	failed = 2
)

// verdict is the outcome of a script.
type verdict struct {
	code int
	text string
}

// cases by name; trouble is false for the run without the disruption.
var cases = map[string]func(d *deployment, trouble bool) (verdict, error){
	"late-refusal": lateRefusal,
	"frozen-edge":  frozenEdge,
	"first-core":   firstCore,
}

// TestMain runs one case; review/build-2.sh builds it as a program. The files are tests because the project holds all
// others to start no processes. Usage: review2 CASE ROOT FOLDER.
func TestMain(*testing.M) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE ROOT FOLDER")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, root, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %v", name, trouble)
	d, err := newDeployment(rec, root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	limit := time.AfterFunc(110*time.Second, func() {
		rec.add("verdict: not run, it takes too long")
		d.stopAll()
		os.Exit(failed)
	})
	defer limit.Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		d.stopAll()
		os.Exit(failed)
	}()
	v, err := cases[name](d, trouble)
	if err != nil {
		v = verdict{failed, "not run: " + err.Error()}
	}
	rec.add("verdict: %s", v.text)
	d.stopAll()
	fmt.Println(v.text)
	return v.code
}
