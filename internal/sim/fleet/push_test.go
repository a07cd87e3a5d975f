package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/operator"
	"drumstall.example/internal/stand"
)

// manyNames is a change of about size bytes that hardly compresses.
func manyNames(d stand.Deployment, size int) []byte {
	routes := map[string]any{}
	for i := 0; size > 0; i++ {
		sum := sha256.Sum256([]byte(fmt.Sprint(i)))
		name := hex.EncodeToString(sum[:])
		routes[name[:40]] = map[string]any{"kind": "service", "selector": "service=" + d.Service, "class": d.Flows[0].Class, "deadlineMs": 1000 + i, "host": name + name}
		size -= 300
	}
	b, _ := json.Marshal(map[string]any{"replace": map[string]any{"routes": routes}})
	return b
}

// inForce counts the edges where a configuration is in force.
func (f *Fleet) inForce(serial uint64) int {
	count := 0
	for _, n := range f.Edges {
		if s, _ := n.Proxy.ActiveConfig(); s >= serial {
			count++
		}
	}
	return count
}

// An operator that gives up on a change that is already kept: it comes into force at all
// edges as soon as if the operator had waited.
func TestAChangeWhoseOperatorLeavesIsPushedAllTheSame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(t, 1, stand.Cascadia().Sized(3, 26, 2, 2, 4, 2))
		defer f.Stop()
		const edgeLink = 1_250_000
		for _, n := range f.Edges {
			f.Net.Rate(n.IP, edgeLink)
		}
		before, _ := f.Edges[0].Proxy.ActiveConfig()
		leaves, cancel := context.WithCancel(t.Context())
		defer cancel()
		change := operator.Submission{Manner: conf.Partial, ContentType: "application/json", Body: manyNames(f.D, 800_000)}
		f.Group.Go(func(context.Context) { _, _ = f.Cores[0].Core.Submit(leaves, change) })
		f.Until(2*time.Second, "the change is kept", func() bool {
			k, found, err := f.Cores[1].Core.Newest(t.Context())
			return err == nil && found && k.Serial > before
		})
		cancel()
		time.Sleep(time.Second)
		if n := f.inForce(before + 1); n != len(f.Edges) {
			t.Errorf("a second after the operator left, the change is in force at %d of %d edges", n, len(f.Edges))
		}
	})
}
