package group

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/raft"
)

const (
	helloTimeout = 500 * time.Millisecond
	formPause    = 100 * time.Millisecond
)

// Form brings the node into a group: it returns once the node belongs to one.
//
// The group is formed only while every first member is reachable and none has
// been formed, so a host that lost its disk can never form a second group. The
// member with the lowest address writes the first membership, which names the
// disks; the others adopt it if it names theirs. A host whose disk it does not
// name waits until an operator adds it.
func (node *Node) Form(ctx context.Context) error {
	warned := false
	for {
		formed, err := node.tryForm(ctx)
		if err != nil || formed {
			return err
		}
		if !warned {
			node.options.Log.Info(logPrefix + "waiting for the control group")
			warned = true
		}
		select {
		case <-ctx.Done():
			return Error.New("form group: %w", ctx.Err())
		case <-node.done:
			return Error.New("the control host has stopped")
		case <-node.options.Clock.After(formPause):
		}
	}
}

func (node *Node) tryForm(ctx context.Context) (bool, error) {
	if node.Status().Formed {
		return true, nil
	}
	if node.options.JoinOnly || !slices.Contains(node.options.Initial, node.options.Address) {
		return false, nil
	}
	members, complete := node.survey()
	if node.Status().Formed {
		return true, nil
	}
	if adopted := node.adoptable(members); adopted != nil {
		return true, node.formWith(ctx, *adopted)
	}
	if !complete || !node.lowest() {
		return false, nil
	}
	first := raft.Members{}
	for _, member := range members {
		if member.reply.Formed {
			return false, nil
		}
		first.Voters = append(first.Voters, raft.Member{ID: member.reply.ID, Address: member.address})
	}
	return true, node.formWith(ctx, first)
}

// surveyed is what one of the first members answered.
type surveyed struct {
	address netip.AddrPort
	reply   HelloReply
}

// survey greets all first members and tells whether all answered.
func (node *Node) survey() ([]surveyed, bool) {
	var found []surveyed
	for _, address := range node.options.Initial {
		if address == node.options.Address {
			found = append(found, surveyed{address: address, reply: node.hello()})
			continue
		}
		wire := newWire(address, node.options.Secret)
		reply := HelloReply{}
		err := wire.call("Control.Hello", HelloArgs{}, &reply, helloTimeout)
		wire.close()
		if err == nil {
			found = append(found, surveyed{address: address, reply: reply})
		}
	}
	return found, len(found) == len(node.options.Initial)
}

// adoptable returns a first membership that names this very disk.
func (node *Node) adoptable(members []surveyed) *raft.Members {
	for _, member := range members {
		if member.reply.Formed && member.reply.First.Voter(node.id) {
			return &member.reply.First
		}
	}
	return nil
}

func (node *Node) lowest() bool {
	return slices.MinFunc(node.options.Initial, netip.AddrPort.Compare) == node.options.Address
}

func (node *Node) formWith(ctx context.Context, members raft.Members) error {
	reply := make(chan error, 1)
	if err := node.ask(ctx, formRequest{members: members, reply: reply}); err != nil {
		return err
	}
	select {
	case err := <-reply:
		return err
	case <-ctx.Done():
		return Error.New("form group: %w", ctx.Err())
	}
}
