package main

import (
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"

	"drumstall.example/internal/sim/process"
)

// proc is one process, which may run or have ended.
type proc struct {
	*process.Process
	name string
	args []string
	bin  string
	from string // folder of its programs
}

// start runs a process that does not run; its output goes to a file of its name.
func (f *fleet) start(p *proc) error {
	s := process.Settings{Program: filepath.Join(p.from, p.bin), Args: p.args, Log: filepath.Join(f.dir, p.name+".log")}
	if p.Process == nil {
		p.Process = process.New(s)
	}
	p.Set(s)
	return errors.Wrap(p.Start(f.group), p.name)
}

// signal sends a signal to a process that was started.
func (f *fleet) signal(name string, sig syscall.Signal) error {
	p := f.procs[name]
	if p == nil || p.Process == nil {
		return errors.Errorf("%s does not run", name)
	}
	return p.Signal(sig)
}
