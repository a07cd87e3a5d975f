package coremembers

import (
	"drumstall.example/internal/state"
	"drumstall.example/internal/state/acceptor"
)

// Adoption hands over a newer set.
type SetUpdate struct {
	Set      state.CoreSet  `cbor:"1,keyasint"`
	Previous state.CoreSet  `cbor:"2,keyasint"`
	Phase    acceptor.Phase `cbor:"3,keyasint,omitempty"` // of whoever answers for itself
}

// Joining asks for a place in the set.
type JoinRequest struct {
	Core     state.Core `cbor:"1,keyasint"`
	Replaces string     `cbor:"2,keyasint"`
}

// Formation is the first set, offered and then made firm.
type Formation struct {
	Set       state.CoreSet `cbor:"1,keyasint"`
	Committed bool          `cbor:"2,keyasint"`
}

// None is an empty answer.
type None struct{}
