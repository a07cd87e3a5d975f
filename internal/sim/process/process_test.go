package process

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"drumstall.example/internal/kernel/run"
)

// TestMain lets this test's program be the process that is started.
func TestMain(m *testing.M) {
	if len(os.Args) != 2 || os.Args[1] != "talk" {
		os.Exit(m.Run())
	}
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		if in.Text() == "silent" {
			continue
		}
		fmt.Printf("%q\n", "heard "+in.Text())
	}
	os.Exit(7)
}

func TestATalkIsLinesAndAnswers(t *testing.T) {
	g := run.NewGroup(t.Context())
	p := New(Settings{Program: os.Args[0], Args: []string{"talk"}, Log: filepath.Join(t.TempDir(), "log"), Talks: true})
	if err := p.Ask([]byte("a"), time.Second, new(string)); !errors.Is(err, ErrNotStarted) {
		t.Errorf("asked before it was started: %v", err)
	}
	if err := p.Start(g); err != nil {
		t.Fatal(err)
	}
	if err := p.Start(g); !errors.Is(err, ErrRuns) {
		t.Errorf("started twice: %v", err)
	}
	var answer string
	if err := p.Ask([]byte("a"), 20*time.Second, &answer); err != nil || answer != "heard a" {
		t.Errorf("%q, %v", answer, err)
	}
	if err := p.Ask([]byte("silent"), 50*time.Millisecond, &answer); err == nil {
		t.Error("no answer was taken for one")
	}
	p.Hush()
	if !run.WaitOn(t.Context(), p.Done(), 20*time.Second) || p.Code() != 7 {
		t.Errorf("it ended with %d", p.Code())
	}
	if err := p.Start(g); err != nil {
		t.Fatal(err)
	}
	if err := p.Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	if !run.WaitOn(t.Context(), p.Done(), 20*time.Second) || p.Code() != -1 {
		t.Errorf("it was killed and ended with %d", p.Code())
	}
	g.Stop()
}
