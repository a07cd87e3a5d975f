package main

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"drumstall.example/internal/kernel/run"
	"drumstall.example/internal/sim/hollow"
	"drumstall.example/internal/state"
)

// failLimit is how long the fleet is followed after a failure.
const failLimit = 40 * time.Second

// cause causes an event and tells what came of it.
func (f *fleet) cause(ctx context.Context, e event) error {
	switch e {
	case loseZone:
		return f.loseZone(ctx)
	case cutRegion:
		return f.cutRegion(ctx)
	}
	return errors.Errorf("no event %q", e)
}

// loseZone ends all processes of the last zone at once.
func (f *fleet) loseZone(ctx context.Context) error {
	gone := f.layout.Zones - 1
	var nodes, replicas, cores int
	began := time.Now()
	for _, one := range f.parts {
		if one.zone != gone || one.lost {
			continue
		}
		one.lost = true
		nodes, replicas, cores = nodes+len(one.spec.Nodes)+len(one.spec.Agents), replicas+len(one.spec.Replicas), cores+len(one.spec.Cores)
		if err := one.Signal(syscall.SIGKILL); err != nil {
			return err
		}
	}
	fmt.Fprintf(f.out, "-- zone %d is lost: %d nodes, %d replicas, %d cores\n", gone, nodes, replicas, cores)
	all := func(int) bool { return true }
	return f.follow(ctx, began, "", f.layout.Nodes-nodes, all, all)
}

// follow tells when the rest of the fleet is whole again: all slots are held, a change is acknowledged and at
// all nodes, and each node knows how many there are.
func (f *fleet) follow(ctx context.Context, began time.Time, whose string, alive int, in, coresIn func(zone int) bool) error {
	ctx, cancel := context.WithTimeout(ctx, failLimit)
	defer cancel()
	var slots, acknowledged, sent, first, known time.Duration
	for slots == 0 || acknowledged == 0 || known == 0 {
		held, err := f.slots(coresIn)
		if err != nil {
			return err
		}
		nodes, err := f.nodes(in)
		if err != nil {
			return err
		}
		now := time.Since(began)
		if slots == 0 && held >= state.SlotCount {
			slots = now
		}
		right := count(nodes, func(n hollow.NodeState) bool { return n.Edges == alive })
		if first == 0 && 2*right >= len(nodes) {
			first = now
		}
		if known == 0 && right == len(nodes) {
			known = now
		}
		if acknowledged == 0 {
			sent = time.Since(began)
			if f.change(f.cores(coresIn)) == nil {
				acknowledged = time.Since(began)
			}
		}
		if !run.Sleep(ctx, pollEvery) {
			fmt.Fprintf(f.out, "%sNOT whole within %v: %d of %d slots held, a change acknowledged after %s, %d of %d nodes know that %d are alive\n",
				whose, failLimit, held, state.SlotCount, orNever(acknowledged), right, len(nodes), alive)
			return nil
		}
	}
	fmt.Fprintf(f.out, "%sall slots held after %s; a change acknowledged after %s; half of the nodes know that %d are alive after %s, all after %s\n",
		whose, seconds(slots), seconds(acknowledged), alive, seconds(first), seconds(known))
	_, inForce, err := f.inForce(ctx, began.Add(sent), in)
	if err != nil {
		fmt.Fprintf(f.out, "%sthe change: %v\n", whose, err)
		return nil
	}
	fmt.Fprintf(f.out, "%sthe change is at all of them %s after it was sent\n", whose, seconds(inForce))
	return nil
}

func orNever(d time.Duration) string {
	if d == 0 {
		return "never"
	}
	return seconds(d)
}

// slots is how many slots the cores of some zones hold together.
func (f *fleet) slots(in func(zone int) bool) (n int, err error) {
	samples, err := f.samples(hollow.CommandSample, roleCore)
	for one, s := range samples {
		for _, c := range s.Cores {
			if in(one.zone) {
				n += c.Slots
			}
		}
	}
	return n, err
}

// cutRegion cuts the last region off from the others, and heals it.
func (f *fleet) cutRegion(ctx context.Context) error {
	region := f.layout.Regions - 1
	within := func(zone int) bool { return zone == outside || f.layout.Region(zone) == region }
	others := func(zone int) bool { return zone == outside || f.layout.Region(zone) != region }
	inside, err := f.nodes(within)
	if err != nil {
		return err
	}
	real := 0
	for _, one := range f.parts {
		if one.role == roleAgent && !one.lost && within(one.zone) {
			real++
		}
	}
	there := len(inside) + real
	everywhere, err := f.nodes(nil)
	if err != nil {
		return err
	}
	everybody := len(everywhere) + f.realAlive()
	began := time.Now()
	if err := f.tellAll(fmt.Sprintf("%s %d", hollow.CommandCut, region)); err != nil {
		return err
	}
	fmt.Fprintf(f.out, "-- region %d is cut off: %d nodes and %d of %d cores are in it\n", region, there, len(f.cores(within)), len(f.cores(nil)))
	if err := f.follow(ctx, began, "the others: ", everybody-there, others, others); err != nil {
		return err
	}
	if !run.Sleep(ctx, f.plan.apart-time.Since(began)) && ctx.Err() != nil {
		return ctx.Err()
	}
	if err := f.tellOfRegion(within, there); err != nil {
		return err
	}
	healed := time.Now()
	if err := f.tellAll(hollow.CommandCut); err != nil {
		return err
	}
	fmt.Fprintf(f.out, "-- the cut ends after %s\n", seconds(healed.Sub(began)))
	all := func(int) bool { return true }
	return f.follow(ctx, healed, "all: ", everybody, all, all)
}

// realAlive is how many nodes run in processes of their own.
func (f *fleet) realAlive() int {
	return count(f.parts, func(p *part) bool { return p.role == roleAgent && !p.lost })
}

// tellOfRegion tells how a region is that is cut off.
func (f *fleet) tellOfRegion(within func(zone int) bool, there int) error {
	held, err := f.slots(within)
	if err != nil {
		return err
	}
	nodes, err := f.nodes(within)
	if err != nil {
		return err
	}
	// outOfTouch is after how long without word a proxy sends nothing.
	const outOfTouch = 2500
	deaf := count(nodes, func(n hollow.NodeState) bool { return n.Heard > outOfTouch })
	alone := count(nodes, func(n hollow.NodeState) bool { return n.Edges == there })
	answer := "acknowledged, which no minority may do"
	if err := f.change(f.cores(within)); err != nil {
		answer = "not acknowledged: " + strings.TrimSpace(err.Error())
	}
	fmt.Fprintf(f.out, "the region: its cores hold %d slots; %d of %d nodes are out of touch; %d know that %d are alive; a change is %s\n",
		held, deaf, len(nodes), alone, there, answer)
	return nil
}

// tellAll gives all parts that run a command.
func (f *fleet) tellAll(command string) error {
	for _, one := range f.parts {
		if one.lost {
			continue
		}
		var answer hollow.Started
		if err := one.Ask([]byte(command), askLimit, &answer); err != nil {
			return errors.Wrap(err, one.spec.Name)
		}
		if answer.Error != "" {
			return errors.New(answer.Error)
		}
	}
	return nil
}
