// Package process starts the processes of a fleet that is run on one machine for proof, and ends them.
//
// cmd/dsfleet and cmd/dsscale use it; no program that serves anybody may start processes. What it
// starts ends with the process that started it.
package process

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"drumstall.example/internal/kernel/run"
)

// ErrRuns is given when a process is started that has not ended.
var ErrRuns = errors.New("process: it runs already")

// ErrNotStarted is given when a process is asked or signalled that was never started.
var ErrNotStarted = errors.New("process: it was not started")

// Settings of a process.
type Settings struct {
	Program string
	Args    []string
	Log     string // file that its output is added to
	Talks   bool   // it takes lines on its standard input and answers each with one on its output
}

// Process is one process, which may run or have ended. Its methods are for one caller at a time.
type Process struct {
	settings Settings
	command  *exec.Cmd
	done     chan struct{} // closed when it has ended
	code     int           // its exit code then
	lines    *os.File      // to it
	answers  *os.File      // from it
	reader   *bufio.Reader
}

// New is a process that has not been started.
func New(s Settings) *Process { return &Process{settings: s} }

// Set changes the settings that the next start takes.
func (p *Process) Set(s Settings) { p.settings = s }

// Settings are those that the next start takes.
func (p *Process) Settings() Settings { return p.settings }

// Done is closed when the process has ended; nil before the first start.
func (p *Process) Done() <-chan struct{} { return p.done }

// Code is the exit code of a process that has ended; -1 of one that a signal ended.
func (p *Process) Code() int { return p.code }

// Start starts a process that does not run.
func (p *Process) Start(g *run.Group) error {
	if p.runs() {
		return ErrRuns
	}
	log, err := os.OpenFile(p.settings.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	c := exec.Command(p.settings.Program, p.settings.Args...)
	c.Stdout, c.Stderr = log, log
	// Why: whatever ends us must not leave a fleet behind; and a stopped process in our own group would have
	// us hung up on when the shell ends.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	theirs, err := p.pipes(c)
	if err == nil {
		err = c.Start()
	}
	for _, f := range theirs {
		_ = f.Close()
	}
	if err != nil {
		_ = log.Close()
		return err
	}
	done, answers := make(chan struct{}), p.answers
	p.command, p.done = c, done
	g.Go(func(context.Context) {
		_ = c.Wait()
		p.code = c.ProcessState.ExitCode()
		_ = log.Close()
		if answers != nil {
			_ = answers.Close()
		}
		close(done)
	})
	return nil
}

func (p *Process) runs() bool {
	if p.command == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// pipes opens the ways to and from a process that talks, and gives its own ends of them.
func (p *Process) pipes(c *exec.Cmd) (theirs []*os.File, err error) {
	if !p.settings.Talks {
		return nil, nil
	}
	in, lines, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	answers, out, err := os.Pipe()
	if err != nil {
		_, _ = in.Close(), lines.Close()
		return nil, err
	}
	c.Stdin, c.Stdout = in, out
	p.lines, p.answers, p.reader = lines, answers, bufio.NewReader(answers)
	return []*os.File{in, out}, nil
}

// Ask sends a line, if it is not empty, and reads the next answer into v.
func (p *Process) Ask(line []byte, limit time.Duration, v any) error {
	if p.lines == nil {
		return ErrNotStarted
	}
	end := time.Now().Add(limit)
	_, _ = p.lines.SetWriteDeadline(end), p.answers.SetReadDeadline(end)
	if len(line) > 0 {
		if _, err := p.lines.Write(append(line, '\n')); err != nil {
			return err
		}
	}
	answer, err := p.reader.ReadBytes('\n')
	if err != nil {
		return errors.Wrap(err, "no answer")
	}
	return json.Unmarshal(answer, v)
}

// Hush closes the ways to a process that talks, which then ends.
func (p *Process) Hush() {
	if p.lines != nil {
		_ = p.lines.Close()
	}
}

// Signal sends a signal to a process that was started.
func (p *Process) Signal(s syscall.Signal) error {
	if p.command == nil {
		return ErrNotStarted
	}
	return p.command.Process.Signal(s)
}

// ID is the system's number of a process that was started, or 0.
func (p *Process) ID() int {
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}
