package core

import (
	"testing"

	"drumstall.example/internal/place/report"
)

func TestTenantFiguresAreSummedOverEdges(t *testing.T) {
	s := tenantSums{}
	s.add(map[string]report.Tenant{"a": {Share: 3, CachedPrefixes: 10, EvictedPrefixes: 1, PromptTokens: 100, WarmTokens: 50, Bulk: true}, "b": {Share: 1}})
	s.add(map[string]report.Tenant{"a": {Share: 3, CachedPrefixes: 5, EvictedPrefixes: 2, PromptTokens: 300, WarmTokens: 250}})
	s.add(nil)
	if want := (tenantSum{Share: 3, Prefixes: 15, Evicted: 3, Tokens: 400, WarmTokens: 300, WarmPart: 0.75, BulkAtEdges: 1}); *s["a"] != want {
		t.Errorf("got %+v, want %+v", *s["a"], want)
	}
	if want := (tenantSum{Share: 1}); *s["b"] != want || len(s) != 2 {
		t.Errorf("got %+v of %d", *s["b"], len(s))
	}
}
