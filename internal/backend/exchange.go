package backend

import (
	"fmt"
	"math/rand/v2"
	"net/http"

	"github.com/pkg/errors"
)

// HeaderExchange identifies one request to a replica; the replica returns it unchanged with its response. It differs for
// each attempt, so a response that comes a second time, late, is not taken for that of a later request.
const HeaderExchange = "Drumstall-Exchange"

// ErrOtherExchange means that a response belongs to another request.
var ErrOtherExchange = errors.New("backend: the response belongs to another request")

// NewExchangeID returns an ID for one request to a replica.
func NewExchangeID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// OfOtherExchange reports whether a response to a request of the native API belongs to another request. One that does not
// tell, which replicas of earlier versions send, counts as that of its own.
func OfOtherExchange(res *http.Response) bool {
	got := res.Header.Get(HeaderExchange)
	return got != "" && got != res.Request.Header.Get(HeaderExchange)
}

// EchoExchange makes a replica return the ID of each request.
func EchoExchange(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(HeaderExchange); id != "" {
			w.Header().Set(HeaderExchange, id)
		}
		h.ServeHTTP(w, r)
	})
}

// exchangeTransport gives each request an ID and rejects responses to other requests.
type exchangeTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t exchangeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(HeaderExchange, NewExchangeID())
	res, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if OfOtherExchange(res) {
		_ = res.Body.Close()
		return nil, ErrOtherExchange
	}
	return res, nil
}
