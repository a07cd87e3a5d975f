package runbook

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// HTTP implements Control over the operators' API of the cores.
type HTTP struct {
	Client *http.Client
	Cores  []string
}

func (h HTTP) call(ctx context.Context, method, addr, path string, body []byte) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := h.Client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, 64<<20))
	if err == nil && res.StatusCode >= 300 {
		err = errors.Errorf("%s: %s", res.Status, bytes.TrimSpace(b))
	}
	return res, b, err
}

// StatusOf returns the status of one core.
func (h HTTP) StatusOf(ctx context.Context, addr string) (Status, error) {
	var s Status
	_, b, err := h.call(ctx, http.MethodGet, addr, "/v1/status", nil)
	if err == nil {
		err = json.Unmarshal(b, &s)
	}
	return s, err
}

// Status returns the status of any core that answers, preferring voters that see slots held.
func (h HTTP) Status(ctx context.Context) (Status, error) {
	var last error = errors.New("no cores given")
	var some *Status
	for _, addr := range h.Cores {
		s, err := h.StatusOf(ctx, addr)
		if err != nil {
			last = err
			continue
		}
		if s.Phase == "voter" && s.held() > 0 {
			return s, nil
		}
		if some == nil || some.Phase != "voter" && s.Phase == "voter" {
			some = &s
		}
	}
	if some != nil {
		return *some, nil
	}
	return Status{}, last
}

// Patch sends a partial configuration to the first core that takes it.
func (h HTTP) Patch(ctx context.Context, body []byte) error {
	var last error = errors.New("no cores given")
	for _, addr := range h.Cores {
		res, _, err := h.call(ctx, http.MethodPatch, addr, "/v1/config", body)
		if err == nil {
			return nil
		}
		last = err
		// A change that may have been stored is not sent again; its effect has to be checked first.
		if res != nil && res.Header.Get("Drumstall-Outcome") != "not-run" || res == nil && !strings.Contains(err.Error(), "refused") {
			return err
		}
	}
	return last
}

// ReadBack returns the newest submission.
func (h HTTP) ReadBack(ctx context.Context, addr string) (serial, manner string, body []byte, err error) {
	res, b, err := h.call(ctx, http.MethodGet, addr, "/v1/config", nil)
	if err != nil {
		return "", "", nil, err
	}
	return strings.Trim(res.Header.Get("ETag"), `"`), res.Header.Get("Drumstall-Manner"), b, nil
}

// Rescue makes one core the only voter.
func (h HTTP) Rescue(ctx context.Context, addr string, lost []string, serial uint64) error {
	b, err := json.Marshal(map[string]any{"lost": lost, "serial": serial})
	if err != nil {
		return err
	}
	_, _, err = h.call(ctx, http.MethodPost, addr, "/v1/rescue", b)
	return err
}
