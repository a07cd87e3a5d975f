package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	gen "drumstall.example/gen/platform"
	"drumstall.example/internal/check"
)

// submit sends a configuration and records an acknowledgement.
func (f *fleet) submit(method string, body []byte) error {
	e := check.Event{Kind: check.ConfAck, Sum: digest(body)}
	var last error
	for _, op := range f.ops {
		req, err := http.NewRequest(method, "http://"+op+"/v1/config", bytes.NewReader(body))
		if err != nil {
			return err
		}
		res, err := (&http.Client{Timeout: 8 * time.Second}).Do(req)
		if err != nil {
			last = err
			if !strings.Contains(err.Error(), "refused") {
				e.Outcome = check.Unknown
				f.rec.Put(e)
				return err
			}
			continue
		}
		b, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			e.Serial = version(res)
			f.rec.Put(e)
			return nil
		}
		last = errors.Errorf("%s: %s", res.Status, bytes.TrimSpace(b))
		if res.Header.Get("Drumstall-Outcome") == "unknown" {
			e.Outcome = check.Unknown
			f.rec.Put(e)
			return last
		}
	}
	return last
}

// readBack reads the configuration from the first core that answers, and records it.
func (f *fleet) readBack() error {
	var last error
	for _, op := range f.ops {
		res, err := (&http.Client{Timeout: 8 * time.Second}).Get("http://" + op + "/v1/config")
		if err != nil {
			last = err
			continue
		}
		b, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if res.StatusCode != http.StatusOK {
			last = errors.New(res.Status)
			continue
		}
		f.rec.Put(check.Event{Kind: check.ConfBack, Serial: version(res), Sum: digest(b)})
		return nil
	}
	return last
}

// control tells the platform what to list.
func (f *fleet) control(l gen.Listed) error {
	b, err := json.Marshal(l)
	if err != nil {
		return err
	}
	res, err := http.Post("http://"+f.plat+"/control", "application/json", bytes.NewReader(b))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("platform control: %s", res.Status)
	}
	return nil
}

// digest is how records name the bytes of a configuration.
func digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// version is that of the configuration which an answer is about, or 0.
func version(res *http.Response) uint64 {
	n, _ := strconv.ParseUint(strings.Trim(res.Header.Get("ETag"), `"`), 10, 64)
	return n
}
