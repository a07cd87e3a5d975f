package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"drumstall.example/internal/kernel/setup"
)

// coded is an error with an exit code: 0 done, 1 refused or failed, 2 wrong usage, 3 outcome unknown, 4 stale serial.
type exitError struct {
	code int
	err  error
}

// Error is the error's text, without the code.
func (c exitError) Error() string { return c.err.Error() }

// usage says what is wrong with the command line.
func usageErrorf(format string, args ...any) error {
	return exitError{2, errors.Errorf(format, args...)}
}

// ctl is what all commands share.
type client struct {
	cores   string
	timeout time.Duration
	out     io.Writer
	errOut  io.Writer
	// contentType of what is sent: JSON, or YAML for Kubernetes-style objects.
	contentType string
}

// call tries the cores in turn until one answers; a request that may have been
// taken is not tried elsewhere.
func (c *client) call(ctx context.Context, method, path string, body []byte, header map[string]string) (*http.Response, []byte, error) {
	if rule := setup.Addresses(c.cores); rule != "" {
		return nil, nil, usageErrorf("setting cores = %q %s", c.cores, rule)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var last error
	for _, addr := range strings.Split(c.cores, ",") {
		req, err := http.NewRequestWithContext(ctx, method, "http://"+strings.TrimSpace(addr)+path, bytes.NewReader(body))
		if err != nil {
			return nil, nil, err
		}
		for k, v := range header {
			req.Header.Set(k, v)
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			last = err
			if method != http.MethodGet && !strings.Contains(err.Error(), "connection refused") {
				return nil, nil, exitError{3, errors.Wrap(err, "outcome unknown; read it back")}
			}
			continue
		}
		b, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err != nil {
			return nil, nil, exitError{3, err}
		}
		// Why: a core without a quorum may be cut off while the next one is not.
		if res.StatusCode == http.StatusServiceUnavailable && res.Header.Get("Drumstall-Outcome") == "not-run" {
			last = errors.New(string(bytes.TrimSpace(b)))
			continue
		}
		return res, b, responseError(res, b)
	}
	return nil, nil, exitError{1, errors.Wrap(last, "no core could answer")}
}

// told makes an error of an answer that is a refusal.
func responseError(res *http.Response, b []byte) error {
	if res.StatusCode < 300 {
		return nil
	}
	var d struct {
		Name, Detail, Outcome string
		Faults                []string
	}
	if json.Unmarshal(b, &d) != nil {
		return exitError{1, errors.Errorf("status %d: %s", res.StatusCode, b)}
	}
	text := d.Detail
	for _, f := range d.Faults {
		text += "\n  " + f
	}
	code := 1
	switch {
	case res.StatusCode == http.StatusPreconditionFailed:
		code = 4
	case res.Header.Get("Drumstall-Outcome") == "unknown":
		code = 3
	}
	return exitError{code, errors.New(text)}
}

// compact takes the blanks out of JSON; what is not JSON stays as it is.
func compactJSON(b []byte) []byte {
	var out bytes.Buffer
	if json.Compact(&out, b) != nil {
		return b
	}
	return out.Bytes()
}

// indented sets JSON in lines; what is not JSON stays as it is. No line end follows.
func indentJSON(b []byte) []byte {
	var pretty bytes.Buffer
	if json.Indent(&pretty, b, "", "  ") == nil {
		b = pretty.Bytes()
	}
	return bytes.TrimRight(b, "\n")
}
