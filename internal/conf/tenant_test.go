package conf

import (
	"maps"
	"os"
	"testing"
)

func mustCompile(t *testing.T, doc string) Effective {
	t.Helper()
	k, err := ReadWhole("application/json", []byte(doc))
	if err != nil {
		t.Fatal(err)
	}
	e, err := Compile(k)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func TestSharesOfTenants(t *testing.T) {
	for _, c := range []struct {
		name, doc string
		want      map[string]int
	}{
		{"nobody is a tenant", `{"classes":{"a":{}}}`, map[string]int{}},
		{"a class without a tenant is the default one's", `{"tenants":{"x":{"share":3}},"classes":{"a":{"tenant":"x"},"b":{}}}`, map[string]int{"x": 3, DefaultTenant: 1}},
		{"the default tenant may be given a share", `{"tenants":{"x":{},"default":{"share":7}},"classes":{"b":{}}}`, map[string]int{"x": 1, DefaultTenant: 7}},
		{"where all classes have a tenant there is no default one", `{"tenants":{"x":{},"y":{}},"classes":{"a":{"tenant":"x"}}}`, map[string]int{"x": 1, "y": 1}},
	} {
		if got := mustCompile(t, c.doc).Shares(); !maps.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestUrgencyWithinATenant(t *testing.T) {
	for _, c := range []struct {
		class Class
		want  int
	}{{Class{Urgent: true, Rank: 9}, 0}, {Class{}, 1}, {Class{Rank: 4}, 5}, {Class{Rank: 9}, UrgencyLevels - 1}, {Class{Rank: 4000}, UrgencyLevels - 1}} {
		if got := c.class.Urgency(); got != c.want {
			t.Errorf("%+v: %d, want %d", c.class, got, c.want)
		}
	}
}

// The example is one that is taken.
func TestTenantsExampleIsValid(t *testing.T) {
	b, err := os.ReadFile("../../examples/tenants/config.yaml")
	if err != nil {
		t.Fatal(err)
	}
	k, err := ReadWhole("application/yaml", b)
	if err != nil {
		t.Fatal(err)
	}
	e, err := Compile(k)
	if err != nil || !maps.Equal(e.Shares(), map[string]int{"counter-and-road": 3, "archive": 1}) || e.TenantOf("scans") != "archive" {
		t.Errorf("%v, %v", e.Shares(), err)
	}
}
