package core

import (
	"time"

	"drumstall.example/internal/place/report"
)

// tenantsFresh is how old an edge's figures of tenants may be to be shown.
const tenantsMaxAge = 30 * time.Second

// tenantSum is what one tenant has at all edges together, as status shows it.
type tenantSum struct {
	Share       int     `json:"share"`
	Prefixes    int     `json:"prefixes"`    // remembered as warm
	Evicted     uint64  `json:"evicted"`     // prefixes that gave way, so far
	Tokens      uint64  `json:"tokens"`      // of prompts that were sent, so far
	WarmTokens  uint64  `json:"warmTokens"`  // of those, expected warm where they were sent
	WarmPart    float64 `json:"warmPart"`    // of all tokens
	BulkAtEdges int     `json:"bulkAtEdges"` // edges that hold it to its share of the replicas
}

// tenantSums are those of all tenants, by name.
type tenantSums map[string]*tenantSum

// add takes what one edge reports.
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
