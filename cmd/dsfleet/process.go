package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
)

// proc is one process, which may run or have ended.
type proc struct {
	name string
	args []string
	bin  string
	from string // folder of its programs
	cmd  *exec.Cmd
	done chan struct{} // closed when it has ended
	code int           // its exit code then
}

// start runs a process that does not run; its output goes to a file of its name.
func (f *fleet) start(p *proc) error {
	if p.cmd != nil {
		select {
		case <-p.done:
		default:
			return errors.Errorf("%s runs already", p.name)
		}
	}
	log, err := os.OpenFile(filepath.Join(f.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(filepath.Join(p.from, p.bin), p.args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// Why: whatever ends us must not leave a fleet behind; and a stopped process in our own group would have
	// us hung up on when the shell ends.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	p.done = make(chan struct{})
	cmd, done := p.cmd, p.done
	f.group.Go(func(context.Context) {
		_ = cmd.Wait()
		p.code = cmd.ProcessState.ExitCode()
		_ = log.Close()
		close(done)
	})
	return nil
}

// signal sends a signal to a process that was started.
func (f *fleet) signal(name string, sig syscall.Signal) error {
	p := f.procs[name]
	if p == nil || p.cmd == nil {
		return errors.Errorf("%s does not run", name)
	}
	return p.cmd.Process.Signal(sig)
}
