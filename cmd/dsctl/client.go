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

// exitError is an error with the exit code of the process: 1 refused or failed, 2 wrong usage, 3 outcome unknown,
// 4 stale serial. Success is exit code 0.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the error, without the exit code.
func (c exitError) Error() string { return c.err.Error() }

// usageErrorf returns an error with exit code 2 that says what is wrong with the command line.
func usageErrorf(format string, args ...any) error {
	return exitError{2, errors.Errorf(format, args...)}
}

// client holds the settings and outputs that all commands share.
type client struct {
	cores   string
	timeout time.Duration
	out     io.Writer
	errOut  io.Writer
	// contentType is the media type of a submitted configuration: JSON, or YAML for Kubernetes-style objects.
	contentType string
}

// call sends a request to the cores in turn until one answers. A change that a core may already have executed is
// not sent to another core; the error then has exit code 3.
func (c *client) call(ctx context.Context, method, path string, body []byte, header map[string]string) (*http.Response, []byte, error) {
	if rule := setup.Addresses(c.cores); rule != "" {
		return nil, nil, usageErrorf("setting cores = %q %s", c.cores, rule)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var lastErr error
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
			lastErr = err
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
		// A core without a quorum may be partitioned from the others while the next core is not.
		if res.StatusCode == http.StatusServiceUnavailable && res.Header.Get("Drumstall-Outcome") == "not-run" {
			lastErr = errors.New(string(bytes.TrimSpace(b)))
			continue
		}
		return res, b, responseError(res, b)
	}
	return nil, nil, exitError{1, errors.Wrap(lastErr, "no core could answer")}
}

// responseError returns an error with an exit code if the status of a response is 300 or above, and nil otherwise.
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

// compactJSON removes insignificant white space from JSON; other input is returned unchanged.
func compactJSON(b []byte) []byte {
	var out bytes.Buffer
	if json.Compact(&out, b) != nil {
		return b
	}
	return out.Bytes()
}

// indentJSON indents JSON; other input is kept as it is. Trailing newlines are removed.
func indentJSON(b []byte) []byte {
	var pretty bytes.Buffer
	if json.Indent(&pretty, b, "", "  ") == nil {
		b = pretty.Bytes()
	}
	return bytes.TrimRight(b, "\n")
}
