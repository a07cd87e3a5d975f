package proxy

import (
	"sync"
	"time"

	"drumstall.example/internal/place/report"
)

// tenantStatsInterval is how often the tenant statistics in reports are refreshed. They are meant for operators,
// and a node's report to the cores should stay small.
const tenantStatsInterval = 5 * time.Second

// tenantStats holds the tenant statistics as last reported.
type tenantStats struct {
	mu        sync.Mutex
	updatedAt time.Duration
	version   uint64
	latest    map[string]report.Tenant
}

// tenantReport returns the tenant statistics for a report and their version. Without tenants it returns nil.
func (p *Proxy) tenantReport() (map[string]report.Tenant, uint64) {
	f, now := &p.tenantStats, p.env.Clock.Since()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.updatedAt != 0 && now-f.updatedAt < tenantStatsInterval {
		return f.latest, f.version
	}
	f.updatedAt = now
	stats := p.routes.StatsByTenant()
	if len(stats) == 0 && len(f.latest) == 0 {
		return nil, f.version
	}
	f.version++
	f.latest = make(map[string]report.Tenant, len(stats))
	for name, t := range stats {
		f.latest[name] = report.Tenant{Share: t.Share, CachedPrefixes: t.Prefixes, EvictedPrefixes: t.Evicted, PromptTokens: t.Tokens, WarmTokens: t.Warm, Bulk: t.IsBulk}
	}
	return f.latest, f.version
}
