package core

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/gossip"
	"drumstall.example/internal/operator"
	"drumstall.example/internal/state"
)

func (c *Core) effective() conf.Effective { return *c.conf.Load() }

// checkedConf is the last configuration that this core parsed and validated as its owner. Parsing
// a large document is most of the cost of a change, so the result is reused.
type checkedConf struct {
	stamp     state.Stamp
	serial    uint64
	effective conf.Effective
}

func (c *Core) onGossip(e gossip.Entry) {
	if e.Key == conf.Key {
		c.confPending.Store(true)
		c.confNudge.Fire()
	}
}

// applyConf applies the newest configuration on this core. Of several that arrive during the
// back-off after reading one, only the newest is read.
func (c *Core) applyConf() {
	began := c.env.Clock.Since()
	if c.readBackoff.Remaining(began) > 0 || !c.confPending.Swap(false) {
		return
	}
	e, found := c.gossip.Get(conf.Key)
	if !found {
		return
	}
	read, err := c.readConf(e)
	if err != nil {
		c.log.Error("cannot read configuration received by gossip", "error", err)
		return
	}
	ended := c.env.Clock.Since()
	c.readBackoff.Record(began, ended)
	c.conf.Store(&read.effective)
	c.serial.Store(read.serial)
	c.log.Info("configuration in force", "epoch", e.Stamp.Epoch, "version", e.Stamp.Version, "serial", read.serial, "tookMs", (ended - began).Milliseconds())
}

// readConf parses a configuration from the gossip table, or returns the cached result.
func (c *Core) readConf(e gossip.Entry) (checkedConf, error) {
	if own := c.checked.Load(); own != nil && own.stamp == e.Stamp {
		return *own, nil
	}
	kept, effective, err := conf.Read(e.Value)
	return checkedConf{stamp: e.Stamp, serial: kept.Serial, effective: effective}, err
}

// submit stores a configuration as the owner of its key and pushes it to other
// nodes before acknowledging it.
func (c *Core) submit(ctx context.Context, s operator.Submission) (operator.Submitted, error) {
	var out operator.Submitted
	errStop := errors.New("refused")
	change := conf.Change{Mode: s.Manner, ContentType: s.ContentType, Body: s.Body, IfMatch: s.IfMatch}
	began := time.Now()
	var effective *conf.Effective
	rec, err := c.owner.Update(ctx, conf.Key, func(old state.Record, found bool) ([]byte, error) {
		var was conf.Stored
		if found {
			var err error
			if was, err = conf.Unpack(old.Value); err != nil {
				return nil, err
			}
		}
		got, err := was.Apply(change)
		var faults conf.ValidationErrors
		switch {
		case errors.As(err, &faults):
			out = operator.Submitted{Faults: faults}
			return nil, errStop
		case err != nil:
			return nil, err
		case got.Stale:
			out = operator.Submitted{Stale: true, Serial: was.Serial}
			return nil, errStop
		case got.Duplicate:
			out = operator.Submitted{Serial: was.Serial, Sum: change.BodyDigest()}
			return nil, errStop
		}
		out, effective = operator.Submitted{Serial: got.Stored.Serial, Sum: change.BodyDigest()}, got.Effective
		return got.Stored.Pack(), nil
	})
	if errors.Is(err, errStop) {
		return out, nil
	}
	if err != nil {
		return operator.Submitted{}, err
	}
	if effective != nil {
		c.checked.Store(&checkedConf{stamp: rec.Stamp, serial: out.Serial, effective: *effective})
	}
	c.log.Info("configuration stored", "epoch", rec.Stamp.Epoch, "version", rec.Stamp.Version, "serial", out.Serial, "bytes", len(rec.Value), "tookMs", time.Since(began).Milliseconds())
	c.announce(ctx, gossip.Entry{Key: conf.Key, Stamp: rec.Stamp, Value: rec.Value})
	return out, nil
}

// newest returns the newest configuration; it runs on the owner of its key.
func (c *Core) newest(ctx context.Context, q NewestQuery) (Newest, error) {
	rec, found, err := c.owner.Get(ctx, conf.Key)
	if err != nil || !found {
		return Newest{}, err
	}
	entry := gossip.Entry{Key: rec.Key, Stamp: rec.Stamp, Value: rec.Value}
	if q.StampOnly {
		entry.Value, entry.ValueOmitted = nil, true
	}
	return Newest{Found: true, Entry: entry}, nil
}

// queryNewest asks the core that owns the configuration, locally or remotely.
func (c *Core) queryNewest(ctx context.Context, q NewestQuery) (Newest, error) {
	return callOwner(ctx, c, conf.Key, newestPath, q, c.newest)
}

// confirm answers an agent's query. Queries for the stamp alone are coalesced: after a power loss
// all agents ask at once, and the owner's link cannot send the document to each of them.
func (c *Core) confirm(ctx context.Context, q NewestQuery) (Newest, error) {
	if q.StampOnly {
		return c.newestStamp.Get(ctx)
	}
	return c.queryNewest(ctx, q)
}

// Submit accepts a configuration from an operator on any core and forwards it to the owner.
func (c *Core) Submit(ctx context.Context, s operator.Submission) (operator.Submitted, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	a, err := callOwner(ctx, c, conf.Key, "/conf/submit", s, c.submit)
	switch {
	case errors.Is(err, state.ErrNoQuorum), errors.Is(err, state.ErrNotOwner):
		return a, operator.ErrNoQuorum
	case err != nil:
		return a, operator.ErrOutcomeUnknown
	}
	return a, nil
}

// Newest reads the newest acknowledged configuration.
func (c *Core) Newest(ctx context.Context) (conf.Stored, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	n, err := c.newestStamp.Get(ctx)
	if err == nil && n.Found && n.Entry.ValueOmitted {
		n, err = c.document(ctx, n)
	}
	if err != nil || !n.Found {
		return conf.Stored{}, false, err
	}
	k, err := conf.Unpack(n.Entry.Value)
	return k, err == nil, err
}

// document returns the configuration with the given stamp from the local gossip table, or else
// the owner's newest.
func (c *Core) document(ctx context.Context, named Newest) (Newest, error) {
	if here, found := c.gossip.Get(conf.Key); found && here.Stamp == named.Entry.Stamp {
		return Newest{Found: true, Entry: here}, nil
	}
	return c.queryNewest(ctx, NewestQuery{})
}

// Rescue makes this core the only voter.
func (c *Core) Rescue(ctx context.Context, lost []string, serial uint64) (any, error) {
	return c.coreSet.Rescue(ctx, lost, serial)
}
