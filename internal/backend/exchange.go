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

// Exchange is which request a response names.
type Exchange int

// Exchanges of a response. Replicas of earlier versions name none.
const (
	UnnamedExchange Exchange = iota
	OwnExchange
	OtherExchange
)

// ExchangeOf returns which request a response of the native API names.
func ExchangeOf(res *http.Response) Exchange {
	switch res.Header.Get(HeaderExchange) {
	case "":
		return UnnamedExchange
	case res.Request.Header.Get(HeaderExchange):
		return OwnExchange
	}
	return OtherExchange
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
	if ExchangeOf(res) == OtherExchange {
		_ = res.Body.Close()
		return nil, ErrOtherExchange
	}
	return res, nil
}
