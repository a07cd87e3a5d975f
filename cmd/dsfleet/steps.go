package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"drumstall.example/internal/check"
	"drumstall.example/internal/stand"
)

// do carries out one step of the schedule.
func (f *fleet) do(s stand.Step) error {
	// note records what a step means for a proxy's callers.
	note := func(kinds ...string) {
		if strings.HasPrefix(s.Target, "proxy") {
			for _, k := range kinds {
				f.rec.Put(check.Event{Kind: k, Node: s.Target})
			}
		}
	}
	switch s.Verb {
	case "patch":
		f.patches++
		return f.submit(http.MethodPatch, []byte(fmt.Sprintf(`{"replace": {"weights": {"zone": {"weight": %d}}}}`, f.patches%7)))
	case "kill":
		note(check.EdgeDown)
		return f.signal(s.Target, syscall.SIGKILL)
	case "freeze":
		note(check.EdgeDown)
		return f.signal(s.Target, syscall.SIGSTOP)
	case "thaw":
		note(check.EdgeUp)
		return f.signal(s.Target, syscall.SIGCONT)
	case "stop":
		note(check.EdgeDown, check.Planned)
		return f.signal(s.Target, syscall.SIGTERM)
	case "swap":
		p := f.procs[s.Target]
		if err := f.do(stand.Step{Verb: "stop", Target: s.Target}); err != nil {
			return err
		}
		if p.from == f.bin {
			p.from = f.other
		} else {
			p.from = f.bin
		}
		return f.do(stand.Step{Verb: "start", Target: s.Target})
	case "empty":
		return os.RemoveAll(filepath.Join(f.dir, s.Target))
	case "start":
		note(check.PlanEnd, check.EdgeUp)
		return f.startAgain(f.procs[s.Target])
	case "mark", "unmark":
		l := f.listed[s.Target]
		l.Leaving = s.Verb == "mark"
		f.listed[s.Target] = l
		return f.control(l)
	}
	return errors.Errorf("no step %s", s.Verb)
}

// startAgain starts a process once its last life has ended.
func (f *fleet) startAgain(p *proc) error {
	select {
	case <-p.Done():
	case <-time.After(70 * time.Second):
		return errors.Errorf("%s has not ended", p.name)
	}
	// Why: a back end that starts anew holds nothing.
	for i, a := range p.args {
		if a == "--holds" {
			p.args[i+1] = ""
		}
	}
	return f.start(p)
}
