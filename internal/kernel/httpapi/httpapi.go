// Package httpapi holds the common parts of all HTTP APIs generated with goa: muxer, codecs, and error
// formatting, and a client with a response size limit.
package httpapi

import (
	"context"
	"net/http"

	goahttp "goa.design/goa/v3/http"
)

// NewMuxer returns goa's muxer.
func NewMuxer() goahttp.Muxer { return goahttp.NewMuxer() }

// Decoder and Encoder are goa's codecs, selected by content type.
var (
	Decoder = goahttp.RequestDecoder
	Encoder = goahttp.ResponseEncoder
)

// IgnoreEncodeError ignores errors of encoding a response; the connection is broken by then.
func IgnoreEncodeError(context.Context, http.ResponseWriter, error) {}

// Formatter is nil, which leaves the format of errors to the API design.
var Formatter func(ctx context.Context, err error) goahttp.Statuser

// LimitedClient is an HTTP client for goa (a Doer) that reads at most MaxBytes of a response body.
type LimitedClient struct {
	HTTP     *http.Client
	MaxBytes int64
}

// Do sends a request and limits the body of its response.
func (c LimitedClient) Do(r *http.Request) (*http.Response, error) {
	res, err := c.HTTP.Do(r)
	if err == nil {
		res.Body = http.MaxBytesReader(nil, res.Body, c.MaxBytes)
	}
	return res, err
}
