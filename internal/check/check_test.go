package check

import (
	"fmt"
	"testing"
	"time"
)

const s = time.Second

// asked is requests to an edge in the moment of a return, and then what comes.
func asked(edge string, then ...Event) []Event {
	out := []Event{{Kind: Back}}
	for i := range askedOf {
		out = append(out, Event{Kind: Sent, Ticket: fmt.Sprint("a", i), Node: edge})
	}
	return append(out, then...)
}

// manySent is a return after which the edge serves plates and is asked for models.
func manySent() []Event {
	out := []Event{{Kind: Back}, {Kind: Sent, Ticket: "p", Node: "e1"}, {At: 1, Kind: Answer, Ticket: "p", Outcome: Whole}}
	for i := range manyModels {
		out = append(out, Event{At: s, Kind: Sent, Ticket: fmt.Sprint("m", i), Node: "e1", Item: "model-01"})
	}
	return out
}

// Every checker must see a deliberate breach, and must let the nearest
// harmless run pass.
func TestEveryCheckerSeesItsBreach(t *testing.T) {
	b := Bounds{PaceLoads: 2, RetryAllowance: 1, Edges: []string{"e1"}, Deadlines: map[string]time.Duration{"chat": 2 * time.Second}}
	for _, c := range []struct {
		rule    int
		what    string
		harm    []Event
		nearest []Event
	}{
		{1, "run twice", []Event{{Kind: RunStart, Ticket: "a"}, {At: s, Kind: RunStart, Ticket: "a"}},
			[]Event{{Kind: RunStart, Ticket: "a", Repeatable: true}, {At: s, Kind: RunStart, Ticket: "a", Repeatable: true}, {Kind: RunStart, Ticket: "b"}}},
		{2, "ran after all", []Event{{Kind: Answer, Ticket: "a", Outcome: TurnedNo}, {At: s, Kind: RunStart, Ticket: "a"}},
			[]Event{{Kind: Answer, Ticket: "a", Outcome: Unknown}, {At: s, Kind: RunStart, Ticket: "a"}}},
		{3, "leaving", []Event{{Kind: Learned, Replica: "r"}, {At: 3*s + 1, Kind: Arrived, Replica: "r", Ticket: "a"}},
			[]Event{{Kind: Learned, Replica: "r"}, {At: 3 * s, Kind: Arrived, Replica: "r", Ticket: "a"}, {At: 9 * s, Kind: Arrived, Replica: "q", Ticket: "b"}, {At: 10 * s, Kind: Unlearned, Replica: "r"}, {At: 11 * s, Kind: Arrived, Replica: "r", Ticket: "c"}}},
		{4, "late", []Event{{Kind: ConfSeen, Node: "e1", Serial: 1}, {At: s, Kind: ConfAck, Serial: 2}, {At: 9 * s, Kind: ConfSeen, Node: "e1", Serial: 2}},
			[]Event{{Kind: ConfSeen, Node: "e1", Serial: 1}, {At: s, Kind: ConfAck, Serial: 2}, {At: 2 * s, Kind: ConfSeen, Node: "e1", Serial: 2}, {At: 9 * s, Kind: ConfSeen, Node: "e1", Serial: 2}}},
		{4, "back", []Event{{Kind: ConfSeen, Node: "e1", Serial: 2}, {At: s, Kind: EdgeDown, Node: "e1"}, {At: 2 * s, Kind: EdgeUp, Node: "e1"}, {At: 3 * s, Kind: ConfSeen, Node: "e1", Serial: 1}},
			[]Event{{Kind: EdgeDown, Node: "e1"}, {At: 1, Kind: ConfAck, Serial: 2}, {At: 9 * s, Kind: EdgeUp, Node: "e1"}, {At: 10 * s, Kind: ConfSeen, Node: "e1", Serial: 2}}},
		{4, "began late", []Event{{Kind: ConfNone, Node: "e1"}, {At: s, Kind: ConfAck, Serial: 2}, {At: 9 * s, Kind: ConfSeen, Node: "e1", Serial: 1}},
			[]Event{{Kind: ConfNone, Node: "e1"}, {At: s, Kind: ConfAck, Serial: 2}, {At: 9 * s, Kind: ConfSeen, Node: "e1", Serial: 2}}},
		{5, "read-back", []Event{{Kind: ConfAck, Serial: 1, Sum: "x"}, {At: 1, Kind: ConfAck, Serial: 2, Sum: "y"}, {At: 2, Kind: ConfBack, Serial: 1, Sum: "x"}},
			[]Event{{Kind: ConfAck, Serial: 1, Sum: "x"}, {At: 1, Kind: ConfAck, Outcome: Unknown, Sum: "z"}, {At: 2, Kind: ConfBack, Serial: 2, Sum: "z"}}},
		{6, "two controllers", []Event{{Kind: OrderCame, Replica: "r", Controller: "a", Epoch: 1}, {At: 2 * s, Kind: OrderCame, Replica: "r", Controller: "b", Epoch: 2}},
			[]Event{{Kind: OrderCame, Replica: "r", Controller: "a", Epoch: 1}, {At: 3 * s, Kind: OrderCame, Replica: "r", Controller: "b", Epoch: 2}}},
		{6, "old epoch", []Event{{Kind: OrderCame, Replica: "r", Controller: "a", Epoch: 3}, {At: 9 * s, Kind: OrderCame, Replica: "r", Controller: "b", Epoch: 2}}, nil},
		{7, "overfull", []Event{{Kind: OrderCame, Verb: "load", Used: 11, Capacity: 10}}, []Event{{Kind: OrderCame, Verb: "load", Used: 10, Capacity: 10}}},
		{8, "pace", []Event{{Kind: LoadStart}, {At: s, Kind: LoadStart}, {At: 5*s - 1, Kind: LoadStart}},
			[]Event{{Kind: LoadStart}, {At: s, Kind: LoadStart}, {At: 5 * s, Kind: LoadStart}}},
		{9, "retries", []Event{{Kind: Arrived, Ticket: "a", Attempt: 1}, {At: 1, Kind: Arrived, Ticket: "b", Attempt: 2}, {At: 2, Kind: Arrived, Ticket: "c", Attempt: 2}},
			[]Event{{Kind: Arrived, Ticket: "a", Attempt: 1}, {At: 1, Kind: Arrived, Ticket: "b", Attempt: 2}, {At: 11 * s, Kind: Arrived, Ticket: "c", Attempt: 2}}},
		{10, "spliced", []Event{{Kind: Answer, Ticket: "a", Outcome: Spliced}}, []Event{{Kind: Answer, Ticket: "a", Outcome: Broken}}},
		{11, "dropped", []Event{{Kind: Sent, Ticket: "a", Node: "e1"}, {At: 1, Kind: Planned, Node: "e1"}, {At: 2, Kind: Answer, Ticket: "a", Outcome: LeftOut}},
			[]Event{{Kind: Sent, Ticket: "a", Node: "e1"}, {At: 1, Kind: Planned, Node: "e2"}, {At: 2, Kind: Answer, Ticket: "a", Outcome: LeftOut}}},
		{11, "cut before its route's time", []Event{{Kind: Sent, Ticket: "a", Node: "e1"}, {At: 1, Kind: Planned, Node: "e1"}, {At: 2 * s, Kind: Answer, Class: "chat", Ticket: "a", Outcome: Broken, TookMs: 1999}},
			[]Event{{Kind: Sent, Ticket: "a", Node: "e1"}, {At: 1, Kind: Planned, Node: "e1"}, {At: 2 * s, Kind: Answer, Class: "chat", Ticket: "a", Outcome: Broken, TookMs: 2000}}},
		{11, "cut on a route of unknown time", []Event{{Kind: Sent, Ticket: "a", Node: "e1"}, {At: 1, Kind: Planned, Node: "e1"}, {At: 2 * s, Kind: Answer, Class: "mail", Ticket: "a", Outcome: Broken, TookMs: 9000}}, nil},
		{11, "slow to return", asked("e1", Event{At: 13 * s, Kind: Answer, Ticket: "a0", Outcome: Whole}), asked("e1", Event{At: 12 * s, Kind: Answer, Ticket: "a0", Outcome: Whole})},
		{11, "never returned", asked("e1", Event{At: 13 * s, Kind: Answer, Ticket: "a0", Outcome: TurnedNo}), asked("e2", Event{At: 13 * s, Kind: Answer, Ticket: "a0", Outcome: TurnedNo})},
		// What earlier checkers passed.
		{3, "leaving, by the replica's own word", []Event{{Kind: Learned, Replica: "r", Why: "r"}, {At: s, Kind: Learned, Replica: "r"}, {At: 2 * s, Kind: Unlearned, Replica: "r"}, {At: 4 * s, Kind: Arrived, Replica: "r", Ticket: "a"}},
			[]Event{{Kind: Learned, Replica: "r", Why: "r"}, {At: s, Kind: Learned, Replica: "r"}, {At: 2 * s, Kind: Unlearned, Replica: "r"}, {At: 3 * s, Kind: Arrived, Replica: "r", Ticket: "a"}}},
		{4, "back and forth between two polls", []Event{{Kind: ConfSeen, Node: "e1", Serial: 2}, {At: 1, Kind: Sent, Ticket: "a", Node: "e1"}, {At: 2, Kind: Answer, Ticket: "a", Node: "e1", Serial: 1}, {At: s, Kind: ConfSeen, Node: "e1", Serial: 2}},
			[]Event{{Kind: Sent, Ticket: "a", Node: "e1"}, {At: 1, Kind: ConfSeen, Node: "e1", Serial: 2}, {At: 2, Kind: Answer, Ticket: "a", Node: "e1", Serial: 1}}},
		{4, "an older answer after a newer one", []Event{{Kind: Sent, Ticket: "a", Node: "e1"}, {At: 1, Kind: Answer, Ticket: "a", Node: "e1", Serial: 2}, {At: 2, Kind: Sent, Ticket: "b", Node: "e1"}, {At: 3, Kind: Answer, Ticket: "b", Node: "e1", Serial: 1}}, nil},
		{5, "read and taken back", []Event{{Kind: ConfAck, Serial: 1, Sum: "x"}, {At: 1, Kind: ConfAck, Outcome: Unknown, Sum: "z"}, {At: 2, Kind: ConfBack, Serial: 2, Sum: "z"}, {At: 3, Kind: ConfBack, Serial: 1, Sum: "x"}},
			[]Event{{Kind: ConfAck, Serial: 1, Sum: "x"}, {At: 1, Kind: ConfAck, Outcome: Unknown, Sum: "z"}, {At: 2, Kind: ConfBack, Serial: 1, Sum: "x"}}},
		{9, "retries whose first attempts have just left the window", []Event{{Kind: Arrived, Ticket: "a", Attempt: 1}, {Kind: Arrived, Ticket: "b", Attempt: 1}, {Kind: Arrived, Ticket: "c", Attempt: 1}, {Kind: Arrived, Ticket: "d", Attempt: 1}, {Kind: Arrived, Ticket: "e", Attempt: 1},
			{At: 9 * s, Kind: Arrived, Ticket: "b", Attempt: 2}, {At: 9 * s, Kind: Arrived, Ticket: "c", Attempt: 2}, {At: 20 * s, Kind: Arrived, Ticket: "f", Attempt: 1}},
			[]Event{{Kind: Arrived, Ticket: "a", Attempt: 1}, {Kind: Arrived, Ticket: "b", Attempt: 1}, {Kind: Arrived, Ticket: "c", Attempt: 1}, {Kind: Arrived, Ticket: "d", Attempt: 1}, {Kind: Arrived, Ticket: "e", Attempt: 1},
				{At: 9 * s, Kind: Arrived, Ticket: "b", Attempt: 2}, {At: 20 * s, Kind: Arrived, Ticket: "f", Attempt: 1}}},
		{11, "no answer at all", []Event{{Kind: Planned, Node: "e1"}, {At: 1, Kind: Sent, Ticket: "a", Node: "e1"}, {At: 9 * s, Kind: PlanEnd, Node: "e1"}},
			[]Event{{Kind: Planned, Node: "e2"}, {At: 1, Kind: Sent, Ticket: "a", Node: "e1"}, {At: 9 * s, Kind: PlanEnd, Node: "e2"}}},
		{11, "another edge's answer", asked("e1", Event{Kind: Sent, Ticket: "b", Node: "e2"}, Event{At: s, Kind: Answer, Ticket: "b", Outcome: Whole}, Event{At: 13 * s, Kind: ConfSeen, Node: "e1"}),
			append([]Event{{Kind: EdgeDown, Node: "e1"}}, asked("e1", Event{Kind: Sent, Ticket: "b", Node: "e2"}, Event{At: s, Kind: Answer, Ticket: "b", Outcome: Whole}, Event{At: 13 * s, Kind: PlanEnd, Node: "e1"})...)},
		{11, "plates but no model", append(manySent(), Event{At: 13 * s, Kind: PlanEnd, Node: "e1"}),
			append(manySent(), Event{At: 2 * s, Kind: Answer, Ticket: "m3", Outcome: Whole}, Event{At: 13 * s, Kind: PlanEnd, Node: "e1"})},
	} {
		for _, v := range All(c.harm, b) {
			if (v.Rule == c.rule) != (len(v.Breaches) > 0) {
				t.Errorf("%s: rule %d says %v", c.what, v.Rule, v.Breaches)
			}
		}
		if got := Breached(All(c.nearest, b)); got != "" {
			t.Errorf("%s, harmless: %s", c.what, got)
		}
	}
}
