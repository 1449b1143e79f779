package group

import (
	"fmt"
	"net/netip"
	"net/rpc"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

// formerControl is the control service of a version that does not know Leave.
type formerControl struct{ control Control }

// Deliver receives consensus messages.
func (formercontrol *formerControl) Deliver(args DeliverArgs, reply *DeliverReply) error {
	return formercontrol.control.Deliver(args, reply)
}

// Join records a join request.
func (formercontrol *formerControl) Join(args JoinArgs, reply *JoinReply) error {
	return formercontrol.control.Join(args, reply)
}

// startJoining starts a group of one and a host that joins it as a learner.
func startJoining(t *testing.T, former bool) (leader, learner *Node, client *Client) {
	t.Helper()
	addresses := freeAddresses(t, 2)
	start := func(number int) *Node {
		node, err := Open(Options{
			Name: fmt.Sprintf("c%d", number), Address: addresses[number], DataFolder: t.TempDir(), Secret: trust.Secret(groupSecret),
			InitialMembers: addresses[:1], Clock: clockwork.NewRealClock(), Log: &log.Logger{Handler: discard.New()},
			TargetVoters: 1, JoinOnly: number > 0,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = node.Close() })
		if former {
			node.server.rpc = rpc.NewServer()
			if err := node.server.rpc.RegisterName("Control", &formerControl{Control{node: node}}); err != nil {
				t.Fatal(err)
			}
		}
		return node
	}
	leader, learner = start(0), start(1)
	go func() { _ = leader.Form(t.Context()) }()
	client = NewClient([]netip.AddrPort{addresses[0]}, trust.Secret(groupSecret))
	t.Cleanup(client.Close)
	go learner.Join(t.Context(), client)
	for deadline := time.Now().Add(time.Minute); len(learner.Status().Members) < 2; <-time.After(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the second host does not join")
		}
	}
	return leader, learner, client
}

// TestLeave guards against a learner that the leader makes a voter while it stops, and against a
// stop that waits for a leader of the former version, which exchanges nobody.
func TestLeave(t *testing.T) {
	cases := []struct {
		name   string
		former bool
	}{
		{name: "leader of this version"},
		{name: "leader of the former version", former: true},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			leader, learner, client := startJoining(t, testcase.former)
			replaced, err := learner.Leave(t.Context(), client)
			is.NoErr(err)
			is.True(!replaced)
			replaced, err = leader.Leave(t.Context(), client)
			is.NoErr(err)
			is.Equal(replaced, testcase.former) // the learner is taken only if the leader does not know that it stops
		})
	}
}
