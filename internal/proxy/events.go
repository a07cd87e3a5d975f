package proxy

import (
	"bytes"
	"context"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

// maxChunk is how much of a stream is read at once.
const maxChunk = 4 << 10

var errEventTooLong = errors.New("proxy: an event of a stream is too long")

// eventStream passes whole events on. When the replica breaks off, another goes
// on after the last event that was passed on, within the same answer.
type eventStream struct {
	ctx     context.Context
	passage *passage
	from    *begun
	chunk   []byte // room to read into
	partial []byte // read, and not yet a whole event
	ready   []byte // whole events that are to be passed on
	out     []byte // the buffer that ready is a part of
	last    uint64 // number of the last event passed on
	known   bool   // last has a value
	ended   bool
	handover
}

func newEventStream(ctx context.Context, w *passage, from *begun) *eventStream {
	s := &eventStream{ctx: ctx, passage: w, from: from}
	if n, err := strconv.ParseUint(w.call.LastEvent, 10, 64); err == nil {
		s.last, s.known = n, true
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
		if err := s.more(); err != nil {
			return 0, err
		}
	}
	n := copy(to, s.ready)
	s.ready = s.ready[n:]
	return n, nil
}

// more reads until there is a whole event, or the stream has ended.
func (s *eventStream) more() error {
	if s.chunk == nil {
		s.chunk = make([]byte, maxChunk)
	}
	n, err := s.from.Read(s.chunk)
	if s.isTakenOver() {
		return s.resume(errTakenOver)
	}
	s.partial = append(s.partial, s.chunk[:n]...)
	if len(s.partial) > maxEvent {
		return errEventTooLong
	}
	s.take(err == io.EOF)
	if n > 0 {
		s.progress()
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
func (s *eventStream) take(all bool) {
	rest := s.partial
	s.ready = s.out[:0]
	for {
		end := eventEnd(rest)
		if end < 0 {
			break
		}
		event := rest[:end]
		rest = rest[end:]
		number, numbered := eventNumber(event)
		// Why: a replica that goes on with a stream may begin a little early; no event may come twice.
		if numbered && s.known && number <= s.last {
			continue
		}
		if numbered {
			s.last, s.known = number, true
		}
		s.ready = append(s.ready, event...)
	}
	if number, numbered := eventNumber(rest); all && !(numbered && s.known && number <= s.last) {
		s.ready = append(s.ready, rest...)
	}
	if all {
		rest = nil
	}
	// Why: the rest moves to the front of the same buffer, so that none is made for each event and it does not grow for ever.
	s.partial = append(s.partial[:0], rest...)
	s.out = s.ready
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
func eventNumber(event []byte) (uint64, bool) {
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
	_ = s.from.Close()
	s.partial = nil
	next, err := s.successor(broke)
	if err != nil {
		return err
	}
	s.from = next
	return nil
}

// Close ends the attempts that are under way.
func (s *eventStream) Close() error {
	err := s.from.Close()
	s.abandon()
	s.passage.giveBack()
	return err
}
