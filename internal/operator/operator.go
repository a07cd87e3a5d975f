// Package operator serves the operators' HTTP API: configuration, status, placement
// explanations, rescue and logs, as defined by the goa design.
package operator

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"drumstall.example/gen/http/operator/server"
	gen "drumstall.example/gen/operator"
	"drumstall.example/internal/conf"
	"drumstall.example/internal/kernel/httpapi"
	"drumstall.example/internal/kernel/ring"
)

// Submission is a configuration submitted by an operator, as it is forwarded to the owner of its key.
type Submission struct {
	Manner      string  `cbor:"1,keyasint"`
	ContentType string  `cbor:"2,keyasint"`
	Body        []byte  `cbor:"3,keyasint"`
	IfMatch     *uint64 `cbor:"4,keyasint"`
}

// Submitted is the outcome of a submission.
type Submitted struct {
	Serial uint64   `cbor:"1,keyasint"`
	Sum    string   `cbor:"2,keyasint"`
	Faults []string `cbor:"3,keyasint"`
	Stale  bool     `cbor:"4,keyasint"`
}

// Errors of the control state for a submission.
var (
	ErrNoQuorum       = errors.New("no quorum; nothing was kept")
	ErrOutcomeUnknown = errors.New("it is not known whether it was kept; read it back")
)

// Control implements the operations behind the API.
type Control interface {
	Submit(ctx context.Context, s Submission) (Submitted, error)
	Newest(ctx context.Context) (conf.Stored, bool, error)
	Status(ctx context.Context) any
	Explain(ctx context.Context, model string) any
	Rescue(ctx context.Context, lost []string, serial uint64) (any, error)
}

type service struct {
	control Control
	logs    *ring.Ring
}

// NewHandler returns a handler that serves the API on goa's muxer.
func NewHandler(c Control, logs *ring.Ring) http.Handler {
	mux := httpapi.NewMuxer()
	s := server.New(gen.NewEndpoints(&service{c, logs}), mux, httpapi.Decoder, httpapi.Encoder, httpapi.IgnoreEncodeError, httpapi.Formatter)
	s.Mount(mux)
	return mux
}

func refusal(name, detail, outcome, retry string, faults []string) error {
	d := &gen.Refusal{Name: name, Detail: detail, Outcome: outcome, Faults: faults}
	if retry != "" {
		d.RetryAfter = &retry
	}
	return d
}

func formatSerial(n uint64) string { return `"` + strconv.FormatUint(n, 10) + `"` }

func (s *service) submit(ctx context.Context, manner string, ifMatch, contentType *string, body io.ReadCloser) (*gen.Submitted, error) {
	defer body.Close()
	sub := Submission{Manner: manner}
	if contentType != nil {
		sub.ContentType = *contentType
	}
	if ifMatch != nil {
		n, err := strconv.ParseUint(strings.Trim(*ifMatch, `"`), 10, 64)
		if err != nil {
			return nil, refusal("bad", "If-Match must be a serial", "not-run", "", []string{"If-Match: " + *ifMatch})
		}
		sub.IfMatch = &n
	}
	b, err := io.ReadAll(io.LimitReader(body, conf.MaxBytes+1))
	if err != nil {
		return nil, refusal("bad", "the body broke off", "not-run", "", nil)
	}
	if len(b) > conf.MaxBytes {
		return nil, refusal("too_large", "a configuration has at most "+strconv.Itoa(conf.MaxBytes)+" bytes", "not-run", "", nil)
	}
	sub.Body = b
	got, err := s.control.Submit(ctx, sub)
	switch {
	case errors.Is(err, ErrNoQuorum):
		return nil, refusal("no_quorum", err.Error(), "not-run", "3", nil)
	case err != nil:
		return nil, refusal("unknown_outcome", ErrOutcomeUnknown.Error(), "unknown", "3", nil)
	case len(got.Faults) > 0:
		return nil, refusal("bad", "the configuration is refused whole", "not-run", "", got.Faults)
	case got.Stale:
		return nil, refusal("stale", "the serial now is "+formatSerial(got.Serial), "not-run", "", nil)
	}
	return &gen.Submitted{Serial: formatSerial(got.Serial), Sum: got.Sum}, nil
}

func (s *service) Put(ctx context.Context, p *gen.PutPayload, body io.ReadCloser) (*gen.Submitted, error) {
	return s.submit(ctx, conf.Whole, p.IfMatch, p.ContentType, body)
}

func (s *service) Patch(ctx context.Context, p *gen.PatchPayload, body io.ReadCloser) (*gen.Submitted, error) {
	return s.submit(ctx, conf.Partial, p.IfMatch, p.ContentType, body)
}

func (s *service) Get(ctx context.Context, p *gen.GetPayload) (*gen.GetResult, io.ReadCloser, error) {
	k, found, err := s.control.Newest(ctx)
	if err != nil {
		return nil, nil, refusal("no_quorum", "the newest configuration cannot be told without a quorum", "not-run", "3", nil)
	}
	if !found {
		return nil, nil, refusal("missing", "no configuration was ever kept", "ran", "", nil)
	}
	res := &gen.GetResult{Serial: formatSerial(k.Serial), ContentType: "application/json", Manner: k.Mode}
	var b []byte
	switch p.What {
	case "submission":
		b = k.Submission
		if k.ContentType != "" {
			res.ContentType = k.ContentType
		}
	case "effective":
		b = conf.RenderJSON(k)
	default:
		if b, found = k.Originals[p.What]; found {
			break
		}
		if b, found = k.Objects[p.What]; !found {
			return nil, nil, refusal("missing", "there is no object "+p.What, "ran", "", nil)
		}
	}
	return res, io.NopCloser(bytes.NewReader(b)), nil
}

func (s *service) Status(ctx context.Context) (any, error) { return s.control.Status(ctx), nil }

func (s *service) Explain(ctx context.Context, p *gen.ExplainPayload) (any, error) {
	model := ""
	if p.Model != nil {
		model = *p.Model
	}
	return s.control.Explain(ctx, model), nil
}

func (s *service) Rescue(ctx context.Context, p *gen.RescuePayload) (any, error) {
	got, err := s.control.Rescue(ctx, p.Lost, p.Serial)
	if err != nil {
		return nil, refusal("bad", err.Error(), "not-run", "", nil)
	}
	return got, nil
}

func (s *service) Logs(context.Context) ([]string, error) { return s.logs.Lines(), nil }
