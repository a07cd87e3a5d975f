package fleet

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"drumstall.example/internal/check"
)

// Put sends a whole configuration to a core and records an acknowledgement.
func (f *Fleet) Put(at int, body []byte, ifMatch string) (uint64, bool) {
	return f.submit(http.MethodPut, at, "application/json", body, ifMatch)
}

// Patch sends a partial one.
func (f *Fleet) Patch(at int, body []byte, ifMatch string) (uint64, bool) {
	return f.submit(http.MethodPatch, at, "application/json", body, ifMatch)
}

func (f *Fleet) submit(method string, at int, kind string, body []byte, ifMatch string) (uint64, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+f.Cores[at].IP+":7001/v1/config", bytes.NewReader(body))
	req.Header.Set("Content-Type", kind)
	if ifMatch != "" {
		req.Header.Set("If-Match", ifMatch)
	}
	sum := sha256.Sum256(body)
	e := check.Event{Kind: check.ConfAck, Sum: hex.EncodeToString(sum[:])}
	res, err := f.opHTTP.Do(req)
	if err != nil {
		e.Outcome = check.Unknown
		f.Rec.Put(e)
		return 0, false
	}
	defer res.Body.Close()
	b, _ := io.ReadAll(res.Body)
	if res.StatusCode != http.StatusOK {
		if res.Header.Get("Drumstall-Outcome") == "unknown" {
			e.Outcome = check.Unknown
			f.Rec.Put(e)
		}
		f.T.Logf("%s %s: %d %s", method, f.Cores[at].Name, res.StatusCode, bytes.TrimSpace(b))
		return 0, false
	}
	e.Serial, _ = strconv.ParseUint(strings.Trim(res.Header.Get("ETag"), `"`), 10, 64)
	f.Rec.Put(e)
	return e.Serial, true
}

// ReadBack reads the newest submission from a core and records what came.
func (f *Fleet) ReadBack(at int) ([]byte, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.Cores[at].IP+":7001/v1/config", nil)
	res, err := f.opHTTP.Do(req)
	if err != nil {
		return nil, false
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK {
		return nil, false
	}
	sum := sha256.Sum256(b)
	n, _ := strconv.ParseUint(strings.Trim(res.Header.Get("ETag"), `"`), 10, 64)
	f.Rec.Put(check.Event{Kind: check.ConfBack, Serial: n, Sum: hex.EncodeToString(sum[:])})
	return b, true
}

// Get reads any page of a core's operators' API.
func (f *Fleet) Get(at int, path string) string {
	res, err := f.opHTTP.Get("http://" + f.Cores[at].IP + ":7001" + path)
	if err != nil {
		return err.Error()
	}
	defer res.Body.Close()
	b, _ := io.ReadAll(res.Body)
	return string(b)
}
