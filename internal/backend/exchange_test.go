package backend

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/wire"
)

// A response that comes late, where that of a later request is due, is neither a report nor the answer to an order.
func TestALateResponseAnswersNoReportAndNoOrder(t *testing.T) {
	for name, c := range map[string]struct {
		exchange string // what the replica returns in place of the request's ID; "" returns the ID
		late     bool
	}{
		"its own":      {"", false},
		"an earlier's": {"1f", true},
	} {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(EchoExchange(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if c.exchange != "" {
					w.Header().Set(HeaderExchange, c.exchange)
				}
				w.Header().Set("Content-Type", "application/json")
				if r.Method == http.MethodPost {
					w.WriteHeader(http.StatusAccepted)
					return
				}
				_, _ = w.Write([]byte(`{` + validHead + `}`))
			})))
			defer srv.Close()
			n := NewNative(wire.HostNetwork())
			defer n.Close()
			target := Target{Addr: strings.TrimPrefix(srv.URL, "http://"), ID: "r1"}
			if _, err := n.Report(t.Context(), target); errors.Is(err, ErrUnreachable) != c.late {
				t.Errorf("report: %v", err)
			}
			err := n.Order(t.Context(), target, Order{ID: "o", Verb: Load, Item: conf.Item{Model: "m"}, Epoch: 1, Controller: "c"})
			if IsOutcomeUnknown(err) != c.late {
				t.Errorf("order: %v", err)
			}
		})
	}
}
