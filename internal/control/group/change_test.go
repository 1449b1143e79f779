package group

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/raft"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

// receive lets the node handle a message of the member "b".
func receive(node *Node, message raft.Message) {
	envelope := raft.Envelope{From: "b", To: node.id, Message: message}
	node.processBatch(deliverRequest{envelopes: []raft.Envelope{envelope}, format: state.LatestFormat})
}

// loadLeaderOfThree returns a node without an event loop that leads the group of
// threeVoters. Only "b" has answered it.
func loadLeaderOfThree(t *testing.T) (*Node, *clockwork.FakeClock) {
	t.Helper()
	node, clock := loadNode(t)
	formed := make(chan error, 1)
	node.processBatch(formRequest{first: formation{members: threeVoters(node)}, reply: formed})
	if err := <-formed; err != nil {
		t.Fatal(err)
	}
	lead(t, node, clock)
	return node, clock
}

// lead lets the node win an election, whose first entry "b" then acknowledges.
func lead(t *testing.T, node *Node, clock *clockwork.FakeClock) {
	t.Helper()
	win(t, node, clock)
	receive(node, raft.AppendResponse{Term: node.core.Term(), Success: true, Match: node.core.LastIndex()})
	if node.core.CommitIndex() != node.core.LastIndex() {
		t.Fatal("the first entry of the term is not committed")
	}
}

// win lets the node win an election with the votes of "b".
func win(t *testing.T, node *Node, clock *clockwork.FakeClock) {
	t.Helper()
	clock.Advance(2 * ElectionTimeout)
	node.processBatch(nil)
	term := node.core.Term() + 1
	receive(node, raft.VoteResponse{Term: term, PreVote: true, Granted: true})
	receive(node, raft.VoteResponse{Term: term, Granted: true})
	if node.core.Role() != raft.RoleLeader {
		t.Fatal("the node does not lead")
	}
}

// TestStatusShowsCommittedMembers guards against a membership change that is reported
// as done, since the status shows it, and is lost with the leader that proposed it.
func TestStatusShowsCommittedMembers(t *testing.T) {
	is := is.New(t)
	node, _ := loadLeaderOfThree(t)
	is.Equal(len(node.Status().Members), 3)
	changed := make(chan changeAnswer, 1)
	node.processBatch(changeRequest{args: ChangeArgs{Kind: ChangeRemove, Member: raft.Member{ID: "c"}}, reply: changed})
	answer := <-changed
	is.NoErr(answer.err)
	is.Equal(len(node.Status().Members), 3) // not committed yet
	receive(node, raft.AppendResponse{Term: node.core.Term(), Success: true, Match: answer.reply.Index})
	is.Equal(node.Status().Commit, answer.reply.Index)
	is.Equal(len(node.Status().Members), 2)
}
