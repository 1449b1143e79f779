package state

import (
	"maps"

	"damaskcrank.example/damaskcrank/internal/base/codec"
)

// The formats of the log. A group uses the latest that all of its members know.
const (
	// FormatPlain has commands without the identity of their proposal.
	FormatPlain uint64 = iota
	// FormatIdentified also has commands with it.
	FormatIdentified
	// FormatRollouts also has the commands of rollouts.
	FormatRollouts
	// FormatCheckedItems has ChangeItems in place of PutItems.
	FormatCheckedItems
	// LatestFormat is the latest format that this version knows.
	LatestFormat = FormatCheckedItems
)

const (
	// maxProposers bounds the proposers that are remembered. The one that has not proposed
	// for longest is forgotten first.
	maxProposers = 1024
	// maxProposerResults bounds the results that are kept for one proposer.
	maxProposerResults = 256
)

// ProposalID identifies a proposal, so that its repeats have no further effect. The zero
// ProposalID identifies none.
type ProposalID struct {
	// Proposer is a number that each proposing process draws at random.
	Proposer uint64
	// Sequence is the number of the proposal among those of its proposer, from 1.
	Sequence uint64
	// Answered is a sequence up to which the proposer repeats no proposal any more.
	Answered uint64
}

// SetFormat makes the group use a format of the log from then on.
type SetFormat struct{ Format uint64 }

// Identified is a command together with the identity of its proposal.
type Identified struct {
	ProposalID
	// Command is the encoded command.
	Command codec.Raw
}

const (
	kindSetFormat  commandKind = "setFormat"
	kindIdentified commandKind = "identified"
)

func (SetFormat) kind() commandKind  { return kindSetFormat }
func (Identified) kind() commandKind { return kindIdentified }

// Identify returns the encoding of an encoded command together with the identity of its
// proposal.
func Identify(id ProposalID, command []byte) ([]byte, error) {
	return EncodeCommand(Identified{ProposalID: id, Command: command})
}

// Proposer is what is remembered of a process that proposes commands.
type Proposer struct {
	// Answered is the sequence up to which no results are kept.
	Answered uint64
	// Results are the results of later proposals, by sequence.
	Results map[uint64]Result
	// UsedAt is the log index of the latest proposal.
	UsedAt uint64
}

// Proposers remembers the latest proposals of each proposer. The zero Proposers is empty.
type Proposers map[uint64]Proposer

// result returns what became of a proposal that was applied before. The outcome is
// OutcomeForgotten if that is not known any more.
func (proposers Proposers) result(index uint64, id ProposalID) (Result, bool) {
	proposer, known := proposers[id.Proposer]
	if !known {
		// Its first proposals can't have been applied and forgotten: it has no answer yet.
		return Result{Index: index, Outcome: OutcomeForgotten}, id.Answered > 0
	}
	if id.Sequence <= proposer.Answered {
		return Result{Index: index, Outcome: OutcomeForgotten}, true
	}
	result, applied := proposer.Results[id.Sequence]
	return result, applied
}

// record remembers the result of a proposal.
func (proposers Proposers) record(index uint64, id ProposalID, result Result) {
	proposer, known := proposers[id.Proposer]
	if !known {
		proposers.forgetOldest()
		proposer.Results = map[uint64]Result{}
	}
	proposer.UsedAt = index
	proposer.Results[id.Sequence] = result
	proposer.Answered = max(proposer.Answered, id.Answered)
	for len(proposer.Results) > maxProposerResults {
		proposer.Answered++
		delete(proposer.Results, proposer.Answered)
	}
	maps.DeleteFunc(proposer.Results, func(sequence uint64, _ Result) bool { return sequence <= proposer.Answered })
	proposers[id.Proposer] = proposer
}

// forgetOldest makes room for another proposer.
func (proposers Proposers) forgetOldest() {
	if len(proposers) < maxProposers {
		return
	}
	var oldest uint64
	found := false
	for id, proposer := range proposers {
		if !found || proposer.UsedAt < proposers[oldest].UsedAt {
			oldest, found = id, true
		}
	}
	delete(proposers, oldest)
}

// clone returns a copy that can be encoded while the original changes.
func (proposers Proposers) clone() Proposers {
	cloned := make(Proposers, len(proposers))
	for id, proposer := range proposers {
		proposer.Results = maps.Clone(proposer.Results)
		cloned[id] = proposer
	}
	return cloned
}
