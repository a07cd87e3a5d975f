package proxy

import (
	"sync"
	"time"

	"drumstall.example/internal/place/report"
)

// tenantsEvery is how often the figures of tenants in reports are made anew. Why:
// they are for people, and a node's word to the cores is to stay small.
const tenantStatsInterval = 5 * time.Second

// tenantFigures are the figures of tenants as last reported.
type tenantStats struct {
	mu        sync.Mutex
	updatedAt time.Duration
	version   uint64
	latest    map[string]report.Tenant
}

// tenants are the figures for a report, and their number; none without tenants.
func (p *Proxy) tenantReport() (map[string]report.Tenant, uint64) {
	f, now := &p.tenantStats, p.env.Clock.Since()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.updatedAt != 0 && now-f.updatedAt < tenantStatsInterval {
		return f.latest, f.version
	}
	f.updatedAt = now
	figures := p.routes.Tenants()
	if len(figures) == 0 && len(f.latest) == 0 {
		return nil, f.version
	}
	f.version++
	f.latest = make(map[string]report.Tenant, len(figures))
	for name, t := range figures {
		f.latest[name] = report.Tenant{Share: t.Share, Kept: t.Kept, Evicted: t.Evicted, Tokens: t.Tokens, Warm: t.Warm, Bulk: t.IsBulk}
	}
	return f.latest, f.version
}
