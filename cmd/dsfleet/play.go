package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"drumstall.example/internal/check"
	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/kernel/setup"
	"drumstall.example/internal/stand"
)

// serves waits until every edge has a configuration in force.
func (f *fleet) serves(ctx context.Context, v *stand.Clients) error {
	for _, e := range f.edges {
		v.WatchConf(f.group, func() stand.Edge { return e })
		if err := f.until(ctx, 15*time.Second, e.Name+" serves", func() error {
			if n, ok := v.InForce(ctx, e); !ok || n == 0 {
				return errors.New("not yet")
			}
			return nil
		}); err != nil {
			return err
		}
	}
	return nil
}

// play sends the traffic and takes the steps meanwhile, and reads the
// configuration back at the end. It gives how many things went wrong.
func (f *fleet) play(ctx context.Context, s setup.Settings, v *stand.Clients, steps []stand.Step) (wrong int) {
	flows := append([]stand.Flow(nil), f.d.Flows...)
	for i := range flows {
		flows[i].PerSecond *= float64(s.Int("scale")) / 100
	}
	traffic, quiet := context.WithTimeout(ctx, s.Duration("for"))
	defer quiet()
	v.Run(f.group, traffic, uint64(s.Int("seed")), func() []stand.Edge { return f.edges }, flows)
	began := time.Now()
	for _, st := range steps {
		if !run.Sleep(traffic, time.Until(began.Add(st.At))) {
			fmt.Fprintf(os.Stderr, "dsfleet: schedule line %d was not reached\n", st.Line)
			wrong++
			break
		}
		fmt.Printf("%6.1fs %s %s\n", time.Since(began).Seconds(), st.Verb, st.Target)
		if err := f.do(st); err != nil {
			fmt.Fprintf(os.Stderr, "dsfleet: schedule line %d: %v\n", st.Line, err)
			wrong++
		}
	}
	<-traffic.Done()
	// What is under way may take its whole deadline.
	run.Sleep(ctx, 20*time.Second)
	if err := f.readBack(); err != nil {
		fmt.Fprintln(os.Stderr, "dsfleet: read-back:", err)
		wrong++
	}
	v.Close()
	return wrong
}

// report holds all records against the rules and prints the figures, as JSON to a
// file too if one is named. wrong counts what could not be read or written.
func (f *fleet) report(file string, odd []string) (good bool, wrong int) {
	events := f.rec.Events()
	for _, p := range f.records {
		es, err := stand.ReadRecord(p)
		if err != nil {
			fmt.Fprintln(os.Stderr, "dsfleet: record:", err)
			wrong++
		}
		events = append(events, es...)
	}
	var edges []string
	for _, e := range f.edges {
		edges = append(edges, e.Name)
	}
	r := check.Figures(events, check.Bounds{PaceLoads: f.d.PaceLoads, RetryAllowance: f.d.Allowance, Edges: edges})
	r.Print(os.Stdout)
	for _, o := range odd {
		fmt.Println("odd:", o)
	}
	if file != "" {
		b, _ := json.MarshalIndent(r, "", " ")
		if err := os.WriteFile(file, append(b, '\n'), 0o644); err != nil {
			fmt.Fprintln(os.Stderr, "dsfleet:", err)
			wrong++
		}
	}
	return !r.Breached(), wrong
}
