package coremembers

import (
	"drumstall.example/internal/state"
	"drumstall.example/internal/state/acceptor"
)

// SetUpdate contains a core set, sent to cores that may have an older one and returned by /state/set.
type SetUpdate struct {
	Set      state.CoreSet  `cbor:"1,keyasint"`
	Previous state.CoreSet  `cbor:"2,keyasint"`
	Phase    acceptor.Phase `cbor:"3,keyasint,omitempty"` // phase of the sender, in an answer to /state/set
}

// JoinRequest asks for membership in the core set.
type JoinRequest struct {
	Core     state.Core `cbor:"1,keyasint"`
	Replaces string     `cbor:"2,keyasint"`
}

// Formation is the first set, first proposed and then committed.
type Formation struct {
	Set       state.CoreSet `cbor:"1,keyasint"`
	Committed bool          `cbor:"2,keyasint"`
}

// None is an empty message.
type None struct{}
