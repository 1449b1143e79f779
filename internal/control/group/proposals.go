package group

import (
	"math/rand/v2"
	"sync"

	"damaskcrank.example/damaskcrank/internal/control/state"
)

// proposals gives a client's proposals their identities. The zero value is ready to use.
type proposals struct {
	mutex    sync.Mutex
	proposer uint64
	last     uint64
	// open are the sequences of proposals that may still be repeated.
	open map[uint64]bool
}

// begin returns the identity of a new proposal, which end ends.
func (proposals *proposals) begin() state.ProposalID {
	proposals.mutex.Lock()
	defer proposals.mutex.Unlock()
	if proposals.proposer == 0 {
		proposals.proposer = max(1, rand.Uint64()) //nolint:gosec // identifies a process, not a secret
		proposals.open = map[uint64]bool{}
	}
	proposals.last++
	answered := proposals.last - 1
	for sequence := range proposals.open {
		answered = min(answered, sequence-1)
	}
	proposals.open[proposals.last] = true
	return state.ProposalID{Proposer: proposals.proposer, Sequence: proposals.last, Answered: answered}
}

// end records that a proposal is not repeated any more.
func (proposals *proposals) end(id state.ProposalID) {
	proposals.mutex.Lock()
	defer proposals.mutex.Unlock()
	if id.Proposer == proposals.proposer {
		delete(proposals.open, id.Sequence)
	}
}

// forget makes later proposals use a new proposer, since the control group has forgotten
// that of a proposal.
func (proposals *proposals) forget(id state.ProposalID) {
	proposals.mutex.Lock()
	defer proposals.mutex.Unlock()
	if id.Proposer == proposals.proposer {
		proposals.proposer, proposals.last, proposals.open = 0, 0, nil
	}
}
