package attempt

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"drumstall.example/internal/backend"
)

// Native is the protocol of replicas that implement the native API.
type Native struct{}

// Encode builds a request of the native API.
func (Native) Encode(ctx context.Context, q Request) (*http.Request, error) {
	u := url.URL{Scheme: "http", Host: q.Addr, Path: backend.RunPath}
	v := url.Values{}
	if q.Item.Model != "" {
		v.Set("model", q.Item.Model)
	}
	if q.Item.Adapter != "" {
		v.Set("adapter", q.Item.Adapter)
	}
	u.RawQuery = v.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), OneShotBody(q.Body))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(q.Body))
	req.Header.Set("Content-Type", q.ContentType)
	req.Header.Set(backend.HeaderAttempt, strconv.Itoa(q.Number))
	req.Header.Set(backend.HeaderExchange, backend.NewExchangeID())
	if q.RequestID != "" {
		req.Header.Set(backend.HeaderRequestID, q.RequestID)
	}
	if q.Identity.Tenant != "" {
		req.Header.Set(backend.HeaderTenant, q.Identity.Tenant)
	}
	if q.Tenant != "" {
		req.Header.Set(backend.HeaderTenant, q.Tenant)
		req.Header.Set(backend.HeaderTenantShare, strconv.Itoa(q.Share))
		req.Header.Set(backend.HeaderUrgency, strconv.Itoa(q.Urgency))
	}
	return req, nil
}

// Decode interprets the head of a response of the native API.
func (Native) Decode(_ Request, res *http.Response) Decision {
	why := "replica answered status " + strconv.Itoa(res.StatusCode)
	exchange := backend.ExchangeOf(res)
	d := Decision{Outcome: Ran, Matched: exchange == backend.OwnExchange, Reason: why}
	switch {
	case exchange == backend.OtherExchange:
		d.Outcome, d.Reason = Unknown, backend.ErrOtherExchange.Error()
	case res.Header.Get(backend.HeaderOutcome) == backend.NotRun && res.StatusCode >= http.StatusBadRequest:
		d.Outcome, d.Rejected, d.Reason = NotRun, true, why+", not run"
	case res.StatusCode == http.StatusOK:
		d.Relay = true
	}
	return d
}

// OneShotBody returns a request body that net/http cannot rewind: a body without
// GetBody, a POST and no idempotency header keep net/http from replaying the request by itself.
func OneShotBody(b []byte) io.Reader {
	if len(b) == 0 {
		return nil
	}
	return struct{ io.Reader }{bytes.NewReader(b)}
}
