package proxy

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
)

func TestEventEnd(t *testing.T) {
	for text, want := range map[string]int{
		"": -1, "\n": -1, "data: x\n": -1, "data: x\r\n\r": -1, "data: x\n\n": 9, "data: x\n\nmore\n\n": 9,
		"data: x\r\n\r\n": 11, "a\r\n\r\nb\n\n": 5, "a\n\nb\r\n\r\n": 3, "\n\n": 2, "\r\n\r\n": 4, "a\n\r\nb": -1,
	} {
		if got := eventEnd([]byte(text)); got != want {
			t.Errorf("%q: got %d, want %d", text, got, want)
		}
	}
}

func TestEventID(t *testing.T) {
	for text, want := range map[string]string{
		"id: 7\ndata: x\n\n": "7 true", "id:7\n\n": "7 true", "data: x\r\nid: 12\r\n\r\n": "12 true", "event: e\nid: 0\n\n": "0 true",
		"data: x\n\n": "0 false", "id: seven\n\n": "0 false", "id:\n\n": "0 false", "id: -1\n\n": "0 false", "data: id: 4\n\n": "0 false",
		"ident: 4\n\n": "0 false", " id: 4\n\n": "0 false", "id: 18446744073709551615\n\n": "18446744073709551615 true",
	} {
		n, hasID := eventID([]byte(text))
		if !hasID {
			n = 0
		}
		if got := fmt.Sprint(n, hasID); got != want {
			t.Errorf("%q: got %s, want %s", text, got, want)
		}
	}
}

// extractPieces feeds pieces to a stream and returns what is forwarded after each.
func extractPieces(s *eventStream, pieces ...string) []string {
	var out []string
	for _, piece := range pieces {
		s.partial = append(s.partial, piece...)
		s.extract(false)
		out = append(out, string(s.ready))
	}
	return out
}

func TestOnlyCompleteEventsAreForwarded(t *testing.T) {
	s := &eventStream{}
	got := extractPieces(s, "id: 1\nda", "ta: x\n", "\nid: 2\ndata: y\n\nid: 3", "\n")
	want := []string{"", "", "id: 1\ndata: x\n\nid: 2\ndata: y\n\n", ""}
	if fmt.Sprintf("%q", got) != fmt.Sprintf("%q", want) || string(s.partial) != "id: 3\n" || s.lastID != 2 || !s.hasLastID {
		t.Errorf("got %q, left %q, last ID %d", got, s.partial, s.lastID)
	}
	if s.extract(true); string(s.ready) != "id: 3\n" || len(s.partial) != 0 {
		t.Errorf("at the end: got %q, left %q", s.ready, s.partial)
	}
}

func TestDuplicateEventsAreDropped(t *testing.T) {
	s := &eventStream{lastID: 4, hasLastID: true}
	got := strings.Join(extractPieces(s, "id: 3\ndata: c\n\nid: 4\ndata: d\n\n: still here\n\nid: 5\ndata: e\n\nid: 5\ndata: e\n\nid: 2\n\ndata: bare\n\nid: 9\n\n"), "")
	if want := ": still here\n\nid: 5\ndata: e\n\ndata: bare\n\nid: 9\n\n"; got != want || s.lastID != 9 {
		t.Errorf("got %q, last ID %d", got, s.lastID)
	}
	first := &eventStream{}
	if got := strings.Join(extractPieces(first, "id: 0\ndata: a\n\nid: 0\ndata: a\n\n"), ""); got != "id: 0\ndata: a\n\n" {
		t.Errorf("a stream that starts with ID 0: got %q", got)
	}
}

// randomStream returns events with both kinds of line ending, some of them repeated or without an ID.
func randomStream(rnd *rand.Rand) string {
	var b strings.Builder
	for i := range 1 + rnd.IntN(20) {
		end := []string{"\n", "\r\n"}[rnd.IntN(2)]
		switch rnd.IntN(5) {
		case 0:
			fmt.Fprintf(&b, "data: bare %d%s%s", i, end, end)
		case 1:
			fmt.Fprintf(&b, "id: %d%sdata: early%s%s", rnd.IntN(i+1), end, end, end)
		default:
			fmt.Fprintf(&b, "event: e%sdata: %d%sid: %d%s%s", end, rnd.IntN(1e6), end, i, end, end)
		}
	}
	if rnd.IntN(2) == 0 {
		b.WriteString("data: unfinish")
	}
	return b.String()
}

// split cuts a text at random offsets.
func split(rnd *rand.Rand, text string) []string {
	var out []string
	for len(text) > 0 {
		n := 1 + rnd.IntN(min(len(text), 1+rnd.IntN(40)))
		out = append(out, text[:n])
		text = text[n:]
	}
	return out
}

// extractAll feeds pieces and the end of the stream, and returns everything that is forwarded.
func extractAll(s *eventStream, pieces ...string) string {
	out := strings.Join(extractPieces(s, pieces...), "")
	s.extract(true)
	return out + string(s.ready)
}

func TestExtractIsIndependentOfChunking(t *testing.T) {
	for seed := range uint64(500) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		text, last, known := randomStream(rnd), uint64(rnd.IntN(6)), rnd.IntN(2) == 0
		want := extractAll(&eventStream{lastID: last, hasLastID: known}, text)
		s := &eventStream{lastID: last, hasLastID: known}
		if got := extractAll(s, split(rnd, text)...); got != want {
			t.Fatalf("seed %d: got %q, want %q", seed, got, want)
		}
	}
}

func FuzzExtractAtAnySplit(f *testing.F) {
	f.Add("id: 1\ndata: x\n\nid: 2\r\n\r\nid: 1\n\n", 5, 12)
	f.Add("a\r\n\r\n\n\nb", 3, 4)
	f.Fuzz(func(t *testing.T, text string, one, two int) {
		one = min(max(one, 0), len(text))
		two = min(max(two, one), len(text))
		want := extractAll(&eventStream{}, text)
		if got := extractAll(&eventStream{}, text[:one], text[one:two], text[two:]); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	})
}

func TestReadWithSmallBuffer(t *testing.T) {
	s := &eventStream{ended: true}
	extractPieces(s, "id: 1\ndata: x\n\n")
	var got strings.Builder
	buf := make([]byte, 4)
	for {
		n, err := s.Read(buf)
		got.Write(buf[:n])
		if err == io.EOF {
			break
		}
		if err != nil || n == 0 {
			t.Fatalf("read %d, %v", n, err)
		}
	}
	if got.String() != "id: 1\ndata: x\n\n" {
		t.Errorf("got %q", got.String())
	}
}

// Events arrive some hundred times a second; an allocation for each would load the garbage collector.
func TestForwardingAnEventDoesNotAllocate(t *testing.T) {
	s := &eventStream{}
	number := uint64(0)
	event := make([]byte, 0, 100)
	perEvent := testing.AllocsPerRun(1000, func() {
		number++
		event = append(strconv.AppendUint(append(event[:0], "id: "...), number, 10), "\ndata: lorem ipsum\n\n"...)
		for _, piece := range [][]byte{event[:5], event[5:]} {
			s.partial = append(s.partial, piece...)
			s.extract(false)
		}
		if len(s.ready) != len(event) {
			t.Fatalf("event %d: %q was forwarded", number, s.ready)
		}
	})
	if perEvent > 0 {
		t.Errorf("%v allocations per event", perEvent)
	}
}
