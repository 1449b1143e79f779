package shard

import (
	"testing"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
)

// TestStoredStatusOutOfRange guards against a stored answer that can't be given, as a host of an
// earlier version stored it with a status that is none of HTTP.
func TestStoredStatusOutOfRange(t *testing.T) {
	for _, status := range []int{0, 99, 100, 199, 600, 999} {
		is := is.New(t)
		refusal, ok := storedOutcome(state.Answer{Status: status}).(calls.Refusal)
		is.True(ok)
		is.Equal(refusal.Ran, calls.RanYes)
	}
}
