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
	gzipEncoding = "gzip"
	// codedFrom is the size from which a large message is worth compressing.
	minCompressSize = 4 << 10
	// plainFor is how long a peer that could not read a compressed message gets plain ones.
	uncompressedPeriod = time.Minute
)

// errCoding says that a peer does not read compressed messages.
var errUnsupportedEncoding = errors.New("wire: peer does not read compressed messages")

var gzipWriters = sync.Pool{New: func() any {
	w, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	return must(w, err)
}}

// compress returns the bytes compressed with gzip. Errors are ignored, since writes to memory do not fail.
func compress(plain []byte) []byte {
	var out bytes.Buffer
	w := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	w.Reset(&out)
	_, _ = w.Write(plain)
	_ = w.Close()
	return out.Bytes()
}

// readBody reads a body and returns ErrMalformed if it is longer than MaxMessage.
func readBody(body io.Reader) ([]byte, error) {
	read, err := io.ReadAll(io.LimitReader(body, MaxMessage+1))
	if err == nil && len(read) > MaxMessage {
		err = errors.Wrap(ErrMalformed, "message too large")
	}
	return read, err
}

// decode undoes the content encoding named in a header, if any.
func decode(body []byte, header http.Header) ([]byte, error) {
	switch coding := header.Get("Content-Encoding"); coding {
	case "":
		return body, nil
	case gzipEncoding:
		r, err := gzip.NewReader(bytes.NewReader(body))
		if err != nil {
			return nil, errors.Wrap(ErrMalformed, err.Error())
		}
		plain, err := readBody(r)
		if err != nil {
			return nil, errors.Wrap(ErrMalformed, err.Error())
		}
		return plain, nil
	default:
		return nil, errors.Wrap(errUnsupportedEncoding, coding)
	}
}

// accepts says whether a caller reads compressed answers.
func acceptsGzip(r *http.Request) bool {
	return strings.Contains(r.Header.Get("Accept-Encoding"), gzipEncoding)
}

// Large is a message that is encoded and compressed once for many peers.
type EncodedMessage struct {
	plain      []byte
	compressed []byte // nil if the message is smaller than minCompressSize
}

// Prepare encodes a message for CallLarge.
func EncodeMessage(v any) EncodedMessage {
	m := EncodedMessage{plain: Marshal(v)}
	if len(m.plain) >= minCompressSize {
		m.compressed = compress(m.plain)
	}
	return m
}

// CallLarge sends a prepared message and waits for the answer. A peer of an
// earlier build, which does not read the coding, gets the message plain.
func CallEncoded[A any](ctx context.Context, c *Client, addr, path string, m EncodedMessage) (A, error) {
	if m.compressed == nil || c.needsUncompressed(addr) {
		return call[A](ctx, c, addr, path, m.plain, "")
	}
	a, err := call[A](ctx, c, addr, path, m.compressed, gzipEncoding)
	if !errors.Is(err, errUnsupportedEncoding) {
		return a, err
	}
	c.uncompressedSince.Store(addr, time.Now())
	return call[A](ctx, c, addr, path, m.plain, "")
}

// wantsPlain says whether a peer could not read a compressed message lately.
func (c *Client) needsUncompressed(addr string) bool {
	at, found := c.uncompressedSince.Load(addr)
	if !found {
		return false
	}
	if time.Since(at.(time.Time)) < uncompressedPeriod {
		return true
	}
	c.uncompressedSince.Delete(addr)
	return false
}

// HandleLarge answers calls at path with f, compressed where the answer is large
// and the caller reads that.
func HandleCompressed[Q, A any](m *Mux, path string, f func(context.Context, Q) (A, error)) {
	handle(m, path, f, func(w http.ResponseWriter, r *http.Request, answer A) int {
		packed := Marshal(answer)
		if len(packed) >= minCompressSize && acceptsGzip(r) {
			w.Header().Set("Content-Encoding", gzipEncoding)
			packed = compress(packed)
		}
		return writeResponse(w, packed)
	})
}

// HandlePrepared answers calls at path with messages that f may have prepared before.
func HandleEncoded[Q any](m *Mux, path string, f func(context.Context, Q) (EncodedMessage, error)) {
	handle(m, path, f, func(w http.ResponseWriter, r *http.Request, answer EncodedMessage) int {
		if answer.compressed == nil || !acceptsGzip(r) {
			return writeResponse(w, answer.plain)
		}
		w.Header().Set("Content-Encoding", gzipEncoding)
		return writeResponse(w, answer.compressed)
	})
}
