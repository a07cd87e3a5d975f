package wire

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// gzipCoding names the one content coding that is written and read here.
	gzipCoding = "gzip"
	// codedFrom is the size from which a large message is worth compressing.
	codedFrom = 4 << 10
	// plainFor is how long a peer that could not read a compressed message gets plain ones.
	plainFor = time.Minute
)

// errCoding says that a peer does not read compressed messages.
var errCoding = errors.New("wire: peer does not read compressed messages")

var gzipWriters = sync.Pool{New: func() any {
	w, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	return must(w, err)
}}

// compress gives the bytes in the coding; writes to memory do not fail.
func compress(plain []byte) []byte {
	var out bytes.Buffer
	w := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	w.Reset(&out)
	_, _ = w.Write(plain)
	_ = w.Close()
	return out.Bytes()
}

// readBody reads at most MaxMessage bytes.
func readBody(body io.Reader) ([]byte, error) {
	read, err := io.ReadAll(io.LimitReader(body, MaxMessage+1))
	if err == nil && len(read) > MaxMessage {
		err = errors.Wrap(ErrGarbled, "message too large")
	}
	return read, err
}

// decode undoes the content coding that a header names, if any.
func decode(body []byte, header http.Header) ([]byte, error) {
	switch coding := header.Get("Content-Encoding"); coding {
	case "":
		return body, nil
	case gzipCoding:
		r, err := gzip.NewReader(bytes.NewReader(body))
		if err != nil {
			return nil, errors.Wrap(ErrGarbled, err.Error())
		}
		plain, err := readBody(r)
		if err != nil {
			return nil, errors.Wrap(ErrGarbled, err.Error())
		}
		return plain, nil
	default:
		return nil, errors.Wrap(errCoding, coding)
	}
}

// accepts says whether a caller reads compressed answers.
func accepts(r *http.Request) bool {
	return strings.Contains(r.Header.Get("Accept-Encoding"), gzipCoding)
}

// Large is a message that is encoded and compressed once for many peers.
type Large struct {
	plain []byte
	coded []byte // nil where the message is too small for that
}

// Prepare encodes a message for CallLarge.
func Prepare(v any) Large {
	m := Large{plain: Pack(v)}
	if len(m.plain) >= codedFrom {
		m.coded = compress(m.plain)
	}
	return m
}

// CallLarge sends a prepared message and waits for the answer. A peer of an
// earlier build, which does not read the coding, gets the message plain.
func CallLarge[A any](ctx context.Context, c *Caller, addr, path string, m Large) (A, error) {
	if m.coded == nil || c.wantsPlain(addr) {
		return call[A](ctx, c, addr, path, m.plain, "")
	}
	a, err := call[A](ctx, c, addr, path, m.coded, gzipCoding)
	if !errors.Is(err, errCoding) {
		return a, err
	}
	c.plain.Store(addr, time.Now())
	return call[A](ctx, c, addr, path, m.plain, "")
}

// wantsPlain says whether a peer could not read a compressed message lately.
func (c *Caller) wantsPlain(addr string) bool {
	at, found := c.plain.Load(addr)
	if !found {
		return false
	}
	if time.Since(at.(time.Time)) < plainFor {
		return true
	}
	c.plain.Delete(addr)
	return false
}

// HandleLarge answers calls at path with f, compressed where the answer is large
// and the caller reads that.
func HandleLarge[Q, A any](m *Mux, path string, f func(context.Context, Q) (A, error)) {
	handle(m, path, f, func(w http.ResponseWriter, r *http.Request, answer A) int {
		packed := Pack(answer)
		if len(packed) >= codedFrom && accepts(r) {
			w.Header().Set("Content-Encoding", gzipCoding)
			packed = compress(packed)
		}
		return write(w, packed)
	})
}

// HandlePrepared answers calls at path with messages that f may have prepared before.
func HandlePrepared[Q any](m *Mux, path string, f func(context.Context, Q) (Large, error)) {
	handle(m, path, f, func(w http.ResponseWriter, r *http.Request, answer Large) int {
		if answer.coded == nil || !accepts(r) {
			return write(w, answer.plain)
		}
		w.Header().Set("Content-Encoding", gzipCoding)
		return write(w, answer.coded)
	})
}
