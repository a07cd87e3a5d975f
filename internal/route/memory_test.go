package route

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"

	"drumstall.example/internal/kernel/sharedcache"
)

// body is a prompt of its own, of some bytes.
func body(n uint64, size int) []byte {
	b := make([]byte, size)
	binary.LittleEndian.PutUint64(b, n)
	return b
}

// bulkRun sends many long prompts, each of its own.
func addDistinctPrompts(m *prefixMemory, prompts int, by sharedcache.Owner) {
	for i := range prompts {
		m.add(PromptFromBody("m", body(uint64(1_000_000+i), 4096)), "r-9", by)
	}
}

func TestBulkOfOneTenantDoesNotEvictPrefixesOfAnother(t *testing.T) {
	ours, theirs := sharedcache.Owner{Tenant: "transport"}, sharedcache.Owner{Tenant: "archive", Rank: 1}
	for _, c := range []struct {
		shares map[string]int
		keeps  bool
	}{{map[string]int{"transport": 1, "archive": 1}, true}, {nil, false}} {
		m := newPrefixMemory()
		m.setShares(c.shares)
		for i := range uint64(1000) {
			m.add(PromptFromBody("m", body(i, 4096)), "r-1", ours)
		}
		addDistinctPrompts(m, 20_000, theirs)
		known := 0
		for i := range uint64(1000) {
			if m.warmFractions(PromptFromBody("m", body(i, 4096)))["r-1"] == 1 {
				known++
			}
		}
		// Why: without tenants all is as it was, and the run flushes the memory; that shows that it is heavy enough.
		if c.keeps != (known == 1000) || !c.keeps && known > 0 {
			t.Errorf("shares %v: %d of 1000 prompts are known to be warm", c.shares, known)
		}
	}
}

func TestPrefixesSurviveEnablingAndDisablingTenants(t *testing.T) {
	m := newPrefixMemory()
	p := PromptFromBody("m", body(7, 2048))
	m.add(p, "r-1", sharedcache.Owner{})
	m.setShares(map[string]int{"transport": 1})
	if got := m.warmFractions(p)["r-1"]; got != 1 {
		t.Errorf("%v of it is warm after tenants came", got)
	}
	m.add(p, "r-2", sharedcache.Owner{Tenant: "transport"})
	if got := m.warmFractions(p); got["r-1"] != 1 || got["r-2"] != 1 {
		t.Errorf("warm %v", got)
	}
	addDistinctPrompts(m, 10_000, sharedcache.Owner{Tenant: "transport"})
	if len(m.generations[0])+len(m.generations[1]) > 0 {
		t.Error("what was remembered before is kept for ever")
	}
	m.setShares(nil)
	m.add(p, "r-3", sharedcache.Owner{})
	if got := m.warmFractions(p)["r-3"]; got != 1 {
		t.Errorf("%v of it is warm after tenants went", got)
	}
}

func TestPrefixMemoryIsBoundedWithTenants(t *testing.T) {
	m := newPrefixMemory()
	m.setShares(map[string]int{"a": 1, "b": 5})
	for _, tenant := range []string{"a", "b", "a"} {
		addDistinctPrompts(m, 20_000, sharedcache.Owner{Tenant: tenant})
	}
	if n := m.shared.Len(); n != 2*generationSize {
		t.Errorf("%d prefixes, want %d", n, 2*generationSize)
	}
}

func TestWarmTokensAreCountedByTenant(t *testing.T) {
	m := newPrefixMemory()
	p := PromptFromParts("m", []Part{{"a", 100}, {"b", 300}})
	m.countRead("a", p, 0.25)
	if _, reads := m.stats(); reads != nil {
		t.Errorf("counted without tenants: %v", reads)
	}
	m.setShares(map[string]int{"a": 1, "b": 1})
	m.countRead("a", p, 0.25)
	m.countRead("a", p, 1)
	m.countRead("b", PromptFromBody("m", body(1, 400)), 0)
	_, reads := m.stats()
	if reads["a"] != (Reads{Tokens: 800, Warm: 500}) || reads["b"] != (Reads{Tokens: 100}) {
		t.Errorf("%v", reads)
	}
	m.setShares(map[string]int{"a": 1})
	if _, reads = m.stats(); len(reads) != 1 {
		t.Errorf("a tenant that is gone is still counted: %v", reads)
	}
}

// What it costs on a request's path to look a prompt up and to remember it, and
// how much memory an entry takes, without tenants and with them.
func BenchmarkMemory(b *testing.B) {
	for _, tenants := range []int{0, 2, 16} {
		b.Run(fmt.Sprint("tenants=", tenants), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			m := newPrefixMemory()
			shares := map[string]int{}
			owners := []sharedcache.Owner{{}}
			for i := range tenants {
				shares[fmt.Sprint("t", i)] = 1 + i
				owners = append(owners, sharedcache.Owner{Tenant: fmt.Sprint("t", i), Rank: i % 4})
			}
			if tenants > 0 {
				owners = owners[1:]
			}
			m.setShares(shares)
			addDistinctPrompts(m, 30_000, owners[0])
			runtime.GC()
			runtime.ReadMemStats(&after)
			entries := len(m.generations[0]) + len(m.generations[1])
			if m.shared != nil {
				entries = m.shared.Len()
			}
			prompts := make([]Prompt, 512)
			for i := range prompts {
				prompts[i] = PromptFromBody("m", body(uint64(i), 4096))
			}
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				p := prompts[n%len(prompts)]
				m.warmFractions(p)
				m.add(p, "r-1", owners[n%len(owners)])
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(entries), "B/entry")
			runtime.KeepAlive(m)
		})
	}
}
