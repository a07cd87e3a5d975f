package attempt

import (
	"context"
	"testing"

	"drumstall.example/internal/backend"
)

// A request has the tenant headers if tenants are configured, and no additional headers
// otherwise.
func TestNativeSendsTenantHeaders(t *testing.T) {
	for _, c := range []struct {
		q                      Request
		tenant, share, urgency string
	}{
		{Request{Addr: "r:1"}, "", "", ""},
		{Request{Addr: "r:1", Tenant: "transport", Share: 3, Urgency: 0}, "transport", "3", "0"},
		{Request{Addr: "r:1", Tenant: "archive", Share: 1, Urgency: 6}, "archive", "1", "6"},
	} {
		req, err := Native{}.Encode(context.Background(), c.q)
		if err != nil {
			t.Fatal(err)
		}
		h := req.Header
		if h.Get(backend.HeaderTenant) != c.tenant || h.Get(backend.HeaderTenantShare) != c.share || h.Get(backend.HeaderUrgency) != c.urgency {
			t.Errorf("%+v: %v", c.q, h)
		}
		if h.Get(backend.HeaderExchange) == "" {
			t.Error("the request has no ID of its own")
		}
		if c.tenant == "" && len(h) != 3 {
			t.Errorf("unexpected headers without tenants: %v", h)
		}
	}
}
