package conf

import (
	"fmt"
	"testing"
)

func TestTenantOfKey(t *testing.T) {
	e := mustCompile(t, `{"tenants":{"a":{"keys":["one","two","two"],"sharing":false},"b":{"keys":["three"],"sharing":false}},"limits":{"default":{"requireKeys":true}}}`)
	for key, want := range map[string]string{"one": "a", "two": "a", "three": "b", "": "", "On": "", "one ": ""} {
		if got, known := e.TenantOfKey(key); got != want || known != (want != "") {
			t.Errorf("%q: %q, %v", key, got, known)
		}
	}
	if !e.Limits.RequireKeys || e.HasTenants() {
		t.Errorf("keys required: %v; anything shared: %v", e.Limits.RequireKeys, e.HasTenants())
	}
}

func TestTenantOfKeyWithThousandsOfTenants(t *testing.T) {
	tenants := map[string]Tenant{}
	for i := range 5000 {
		tenants[fmt.Sprintf("t%d", i)] = Tenant{Keys: []string{fmt.Sprintf("k%d", i), fmt.Sprintf("l%d", i)}}
	}
	keys, faults := Effective{Tenants: tenants}.indexKeys()
	e := Effective{tenantByKey: keys}
	if got, known := e.TenantOfKey("l4711"); len(faults) > 0 || got != "t4711" || !known {
		t.Errorf("%q, %v, %v", got, known, faults)
	}
}
