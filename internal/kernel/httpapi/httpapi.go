// Package httpapi holds what every HTTP API made with goa needs: muxer, codecs, and how an
// unexpected error is told.
package httpapi

import (
	"context"
	"net/http"

	goahttp "goa.design/goa/v3/http"
)

// NewMuxer is goa's muxer.
func NewMuxer() goahttp.Muxer { return goahttp.NewMuxer() }

// Decoder and Encoder are goa's, by content type.
var (
	Decoder = goahttp.RequestDecoder
	Encoder = goahttp.ResponseEncoder
)

// Quiet drops what goa could not encode; the connection has gone by then.
func IgnoreEncodeError(context.Context, http.ResponseWriter, error) {}

// Formatter leaves the form of errors to the design.
var Formatter func(ctx context.Context, err error) goahttp.Statuser

// Bounded is a doer for goa's clients that takes no more of an answer than Max.
type LimitedClient struct {
	HTTP     *http.Client
	MaxBytes int64
}

// Do sends a request.
func (b LimitedClient) Do(r *http.Request) (*http.Response, error) {
	res, err := b.HTTP.Do(r)
	if err == nil {
		res.Body = http.MaxBytesReader(nil, res.Body, b.MaxBytes)
	}
	return res, err
}
