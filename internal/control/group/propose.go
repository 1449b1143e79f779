package group

import (
	"context"
	"slices"

	"damaskcrank.example/damaskcrank/internal/control/raft"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

// maxPendingBytes bounds the commands that are proposed and not applied yet.
const maxPendingBytes = 16 << 20

// pendingProposal is a proposal whose entry has not been applied yet.
type pendingProposal struct {
	term uint64
	// size is the length of its command in bytes.
	size  int
	reply chan proposeAnswer
}

// Propose commits a command through this member. It fails with ErrNotLeader if
// the member is not the leader. When it returns a result, Catalog already includes
// the command.
func (node *Node) Propose(ctx context.Context, command state.Command) (state.Result, error) {
	return node.proposeCommand(ctx, command, proposeRequest{})
}

// ProposeInTerm is like Propose, but fails with ErrNotLeader unless the member leads
// in exactly this term when the command is appended to the log. It is for commands
// that are decided on what a leader knows only in its own term.
func (node *Node) ProposeInTerm(ctx context.Context, term uint64, command state.Command) (state.Result, error) {
	return node.proposeCommand(ctx, command, proposeRequest{inTerm: true, term: term})
}

func (node *Node) proposeCommand(ctx context.Context, command state.Command, request proposeRequest) (state.Result, error) {
	data, err := state.EncodeCommand(command)
	if err != nil {
		return state.Result{}, Error.New("propose: %w", err)
	}
	request.command = data
	answer, err := node.proposeData(ctx, request)
	if err != nil {
		return state.Result{}, err
	}
	switch {
	case answer.notLeader:
		return state.Result{}, ErrNotLeader
	case answer.stale:
		return state.Result{}, ErrStaleTicket
	}
	return answer.result, answer.err
}

// errTooMuchPending is returned for a proposal that was not appended to the log.
var errTooMuchPending = Error.New("commands of %d bytes or more wait for their commit", maxPendingBytes)

// ErrNotLeader is returned by a member that is not the leader. Nothing was
// proposed or read.
var ErrNotLeader = Error.New("this control host is not the leader")

func (node *Node) proposeData(ctx context.Context, request proposeRequest) (proposeAnswer, error) {
	if ctx.Err() != nil {
		return proposeAnswer{}, Error.New("propose: %w", ctx.Err())
	}
	reply := make(chan proposeAnswer, 1)
	request.reply = reply
	if err := node.enqueue(ctx, request); err != nil {
		return proposeAnswer{}, err
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return proposeAnswer{}, Error.New("wait for commit: %w", ctx.Err())
	}
}

// propose appends all proposed commands of the batch to the log at once, except
// those that are bound to a term in which this member does not lead now.
func (node *Node) propose(work *batchWork) {
	accepted := node.pendingBytes
	var commands [][]byte
	proposals := slices.DeleteFunc(work.proposals, func(proposal proposeRequest) bool {
		switch {
		case proposal.inTerm && !node.leadsIn(proposal.term), proposal.ticket.Term != 0 && !node.leadsIn(node.core.Term()):
			proposal.reply <- proposeAnswer{notLeader: true}
			return true
		case accepted > 0 && accepted+len(proposal.command) > maxPendingBytes:
			proposal.reply <- proposeAnswer{err: errTooMuchPending}
			return true
		}
		command, err := node.logged(proposal)
		if err != nil {
			proposal.reply <- proposeAnswer{err: err}
			return true
		}
		if !node.admits(proposal) || !node.admitsItems(proposal.command, node.core.LastIndex()+uint64(len(commands))+1) {
			proposal.reply <- proposeAnswer{stale: true}
			return true
		}
		commands = append(commands, command)
		accepted += len(proposal.command)
		return false
	})
	if len(proposals) == 0 {
		return
	}
	output := node.step(raft.Propose{Commands: commands}, work)
	for offset, proposal := range proposals {
		if output.Err != nil {
			proposal.reply <- proposeAnswer{notLeader: true}
			continue
		}
		index := output.FirstIndex + uint64(offset)
		if earlier, ok := node.takeProposal(index); ok {
			earlier.reply <- proposeAnswer{err: Error.New("another entry was proposed in place of entry %d", index)}
		}
		node.proposals[index] = pendingProposal{term: node.core.Term(), size: len(proposal.command), reply: proposal.reply}
		node.pendingBytes += len(proposal.command)
	}
}

// leadsIn reports whether the member is the leader in the term.
func (node *Node) leadsIn(term uint64) bool {
	return node.core.Role() == raft.RoleLeader && node.core.Term() == term
}

// takeProposal removes and returns the proposal pending at an index.
func (node *Node) takeProposal(index uint64) (pendingProposal, bool) {
	proposal, ok := node.proposals[index]
	if ok {
		delete(node.proposals, index)
		node.pendingBytes -= proposal.size
	}
	return proposal, ok
}
