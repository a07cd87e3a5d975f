package capacity

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"

	"drumstall.example/internal/backend"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/inventory"
	"drumstall.example/internal/kernel/wire"
	"drumstall.example/platform"
)

type fake struct{}

func (fake) Report(_ context.Context, r backend.Target) (backend.Report, error) {
	return backend.Report{ID: r.ID, Incarnation: r.ID, Model: true, Slots: 32, CapacityMib: 600000, AdapterPlaces: 32, Items: map[conf.Item]backend.ItemStatus{}}, nil
}
func (fake) Order(context.Context, backend.Target, backend.Order) error { return nil }
func (fake) Close()                                                     {}
func (fake) Traits() backend.Traits                                     { return (&platform.Replicas{}).Traits() }

type list struct{ n int }

func (l list) List(context.Context) ([]inventory.Listed, error) {
	var out []inventory.Listed
	for i := range l.n {
		out = append(out, listed(i))
	}
	return out, nil
}
func (list) Close() {}

func call(mux *wire.Mux, path string, body []byte) int {
	req := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body))
	req.Header.Set("Drumstall-Speaks", wire.ProtocolVersion)
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, req)
	if w.Code != http.StatusOK {
		panic(fmt.Sprint(path, w.Code, w.Body.String()))
	}
	return w.Body.Len()
}
