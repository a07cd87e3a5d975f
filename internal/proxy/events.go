package proxy

import (
	"bytes"
	"context"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxEvent bounds one event of a stream.
const maxEventSize = 1 << 20

// maxChunk is how much of a stream is read at once.
const readChunkSize = 4 << 10

var errEventTooLong = errors.New("proxy: an event of a stream is too long")

// eventStream passes whole events on. When the replica breaks off, another goes
// on after the last event that was passed on, within the same answer.
type eventStream struct {
	ctx       context.Context
	dispatch  *dispatch
	source    *activeReply
	readBuf   []byte // room to read into
	partial   []byte // read, and not yet a whole event
	ready     []byte // whole events that are to be passed on
	readyBuf  []byte // the buffer that ready is a part of
	lastID    uint64 // number of the last event passed on
	hasLastID bool   // last has a value
	ended     bool
	failoverState
}

func newEventStream(ctx context.Context, w *dispatch, from *activeReply) *eventStream {
	s := &eventStream{ctx: ctx, dispatch: w, source: from}
	if n, err := strconv.ParseUint(w.call.LastEventID, 10, 64); err == nil {
		s.lastID, s.hasLastID = n, true
	}
	w.stream.Store(s)
	return s
}

// Read gives whole events only.
func (s *eventStream) Read(to []byte) (int, error) {
	for len(s.ready) == 0 {
		if s.ended {
			return 0, io.EOF
		}
		if err := s.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(to, s.ready)
	s.ready = s.ready[n:]
	return n, nil
}

// more reads until there is a whole event, or the stream has ended.
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

// take moves whole events to where they are passed on from, but for those that
// were passed on before.
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
		number, numbered := eventID(event)
		// Why: a replica that goes on with a stream may begin a little early; no event may come twice.
		if numbered && s.hasLastID && number <= s.lastID {
			continue
		}
		if numbered {
			s.lastID, s.hasLastID = number, true
		}
		s.ready = append(s.ready, event...)
	}
	if number, numbered := eventID(rest); all && !(numbered && s.hasLastID && number <= s.lastID) {
		s.ready = append(s.ready, rest...)
	}
	if all {
		rest = nil
	}
	// Why: the rest moves to the front of the same buffer, so that none is made for each event and it does not grow for ever.
	s.partial = append(s.partial[:0], rest...)
	s.readyBuf = s.ready
}

// eventEnd is where the first event ends, with the blank line behind it; -1 is not yet.
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

// eventNumber is the id of an event, if it is a number.
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

// resume has another replica go on after the last event passed on.
func (s *eventStream) resume(broke error) error {
	_ = s.source.Close()
	s.partial = nil
	next, err := s.nextReply(broke)
	if err != nil {
		return err
	}
	s.source = next
	return nil
}

// Close ends the attempts that are under way.
func (s *eventStream) Close() error {
	err := s.source.Close()
	s.cancelFailover()
	s.dispatch.releaseReservedRetry()
	return err
}
