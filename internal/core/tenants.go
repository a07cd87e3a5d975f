package core

import (
	"time"

	"drumstall.example/internal/place/report"
)

// tenantsMaxAge is the maximum age of an edge's report whose tenant figures are included in the status.
const tenantsMaxAge = 30 * time.Second

// tenantSum holds one tenant's figures over all edges, as the status shows them.
type tenantSum struct {
	Share       int     `json:"share"`
	Prefixes    int     `json:"prefixes"`    // currently recorded as warm
	Evicted     uint64  `json:"evicted"`     // prefixes evicted so far
	Tokens      uint64  `json:"tokens"`      // of prompts sent so far
	WarmTokens  uint64  `json:"warmTokens"`  // of Tokens, expected to be cached at the replica
	WarmPart    float64 `json:"warmPart"`    // WarmTokens as a fraction of Tokens
	BulkAtEdges int     `json:"bulkAtEdges"` // edges that limit it to its share of the replicas
}

// tenantSums holds the figures of all tenants, by name.
type tenantSums map[string]*tenantSum

// add adds the figures that one edge reports.
func (s tenantSums) add(tenants map[string]report.Tenant) {
	for name, t := range tenants {
		sum := s[name]
		if sum == nil {
			sum = &tenantSum{}
			s[name] = sum
		}
		sum.Share = t.Share
		sum.Prefixes += t.CachedPrefixes
		sum.Evicted += t.EvictedPrefixes
		sum.Tokens += t.PromptTokens
		sum.WarmTokens += t.WarmTokens
		if t.Bulk {
			sum.BulkAtEdges++
		}
		if sum.Tokens > 0 {
			sum.WarmPart = float64(sum.WarmTokens) / float64(sum.Tokens)
		}
	}
}
