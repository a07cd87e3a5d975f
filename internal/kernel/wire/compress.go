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
	// gzipEncoding is the only content encoding that is supported.
	gzipEncoding = "gzip"
	// minCompressSize is the size in bytes from which messages are compressed.
	minCompressSize = 4 << 10
	// uncompressedPeriod is how long a peer that rejected a compressed message is sent uncompressed ones.
	uncompressedPeriod = time.Minute
)

// errUnsupportedEncoding means that a content encoding is not supported.
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

// acceptsGzip reports whether a client accepts compressed responses.
func acceptsGzip(r *http.Request) bool {
	return strings.Contains(r.Header.Get("Accept-Encoding"), gzipEncoding)
}

// EncodedMessage is a message that is encoded and compressed once, to be sent to many peers.
type EncodedMessage struct {
	plain      []byte
	compressed []byte // nil if the message is smaller than minCompressSize
}

// EncodeMessage encodes a message for CallEncoded and HandleEncoded.
func EncodeMessage(v any) EncodedMessage {
	m := EncodedMessage{plain: Marshal(v)}
	if len(m.plain) >= minCompressSize {
		m.compressed = compress(m.plain)
	}
	return m
}

// CallEncoded sends an encoded message and waits for the response. A peer of an
// earlier build, which does not support the encoding, is sent the message uncompressed.
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

// needsUncompressed reports whether a peer rejected a compressed message within uncompressedPeriod.
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

// HandleCompressed serves calls at path with f. Responses of at least minCompressSize bytes are compressed
// if the client accepts it.
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

// HandleEncoded serves calls at path with f, which returns messages that are already encoded.
func HandleEncoded[Q any](m *Mux, path string, f func(context.Context, Q) (EncodedMessage, error)) {
	handle(m, path, f, func(w http.ResponseWriter, r *http.Request, answer EncodedMessage) int {
		if answer.compressed == nil || !acceptsGzip(r) {
			return writeResponse(w, answer.plain)
		}
		w.Header().Set("Content-Encoding", gzipEncoding)
		return writeResponse(w, answer.compressed)
	})
}
