package proxy

import (
	"bytes"
	"context"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxEventSize bounds the size of one event of a stream.
const maxEventSize = 1 << 20

// readChunkSize is the size of the buffer that a stream is read into.
const readChunkSize = 4 << 10

var errEventTooLong = errors.New("proxy: an event of the stream exceeds the size limit")

// eventStream forwards complete events only. When the connection to the replica breaks, another replica resumes
// after the last forwarded event within the same response.
type eventStream struct {
	ctx       context.Context
	dispatch  *dispatch
	source    *activeReply
	readBuf   []byte // buffer for reads from source
	partial   []byte // data read that is not yet a complete event
	ready     []byte // complete events to be forwarded
	readyBuf  []byte // buffer that ready is a slice of
	lastID    uint64 // ID of the last event forwarded
	hasLastID bool   // lastID is set
	ended     bool
	failoverState
}

func newEventStream(ctx context.Context, d *dispatch, source *activeReply) *eventStream {
	s := &eventStream{ctx: ctx, dispatch: d, source: source}
	if n, err := strconv.ParseUint(d.call.LastEventID, 10, 64); err == nil {
		s.lastID, s.hasLastID = n, true
	}
	d.stream.Store(s)
	return s
}

// Read returns data of complete events only.
func (s *eventStream) Read(p []byte) (int, error) {
	for len(s.ready) == 0 {
		if s.ended {
			return 0, io.EOF
		}
		if err := s.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(p, s.ready)
	s.ready = s.ready[n:]
	return n, nil
}

// fill reads once from the source and extracts complete events. It resumes on another replica after a failover or a
// broken connection.
func (s *eventStream) fill() error {
	if s.readBuf == nil {
		s.readBuf = make([]byte, readChunkSize)
	}
	n, err := s.source.Read(s.readBuf)
	if s.hasFailedOver() {
		return s.resume(errFailedOver)
	}
	s.partial = append(s.partial, s.readBuf[:n]...)
	if len(s.partial) > maxEventSize {
		return errEventTooLong
	}
	s.extract(err == io.EOF)
	if n > 0 {
		s.recordProgress()
	}
	switch {
	case err == io.EOF:
		s.ended = true
		return nil
	case err != nil && len(s.ready) == 0:
		return s.resume(err)
	}
	return nil
}

// extract moves complete events from partial to ready, dropping those already forwarded. At the end of the stream,
// with all, it also moves an incomplete rest.
func (s *eventStream) extract(all bool) {
	rest := s.partial
	s.ready = s.readyBuf[:0]
	for {
		end := eventEnd(rest)
		if end < 0 {
			break
		}
		event := rest[:end]
		rest = rest[end:]
		id, hasID := eventID(event)
		// A replica that resumes a stream may start a little early; no event may be delivered twice.
		if hasID && s.hasLastID && id <= s.lastID {
			continue
		}
		if hasID {
			s.lastID, s.hasLastID = id, true
		}
		s.ready = append(s.ready, event...)
	}
	if id, hasID := eventID(rest); all && !(hasID && s.hasLastID && id <= s.lastID) {
		s.ready = append(s.ready, rest...)
	}
	if all {
		rest = nil
	}
	// The rest moves to the front of the same buffer, which avoids an allocation per event and unbounded growth.
	s.partial = append(s.partial[:0], rest...)
	s.readyBuf = s.ready
}

// eventEnd returns the offset just after the first event and the blank line that ends it, or -1 if the event is incomplete.
func eventEnd(b []byte) int {
	lf := bytes.Index(b, []byte("\n\n"))
	crlf := bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case crlf >= 0 && (lf < 0 || crlf < lf):
		return crlf + 4
	case lf >= 0:
		return lf + 2
	}
	return -1
}

// eventID returns the ID of an event, if it has one that is a decimal number.
func eventID(event []byte) (uint64, bool) {
	for line := range bytes.Lines(event) {
		rest, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		n, err := strconv.ParseUint(string(bytes.TrimSpace(rest)), 10, 64)
		return n, err == nil
	}
	return 0, false
}

// resume continues the stream on another replica after the last forwarded event.
func (s *eventStream) resume(cause error) error {
	_ = s.source.Close()
	s.partial = nil
	next, err := s.nextReply(cause)
	if err != nil {
		return err
	}
	s.source = next
	return nil
}

// Close ends the attempts in progress.
func (s *eventStream) Close() error {
	err := s.source.Close()
	s.cancelFailover()
	s.dispatch.releaseReservedRetry()
	return err
}
