package group

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/raft"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/control/store"
)

const (
	helloTimeout   = 500 * time.Millisecond
	formRetryDelay = 100 * time.Millisecond
)

// Form waits until the node belongs to a group, and forms the group if
// necessary.
//
// A group is formed only while all initial members are reachable and none of
// them belongs to a group, so a host that lost its disk can never form a second
// group. The member with the lowest address creates the first membership, which
// identifies members by their disks; the others adopt it if it contains their
// own disk. A host whose disk is not in it waits until it is added to the group.
func (node *Node) Form(ctx context.Context) error {
	warned := false
	for {
		formed, err := node.tryForm(ctx)
		full := errors.Is(err, store.ErrDiskFull)
		if !full && (err != nil || formed) {
			return err
		}
		if full {
			node.options.Log.WithError(err).Warn(logPrefix + "no disk space to form the control group, trying again")
		}
		if !warned {
			node.options.Log.Info(logPrefix + "waiting for the control group to form")
			warned = true
		}
		select {
		case <-ctx.Done():
			return Error.New("form group: %w", ctx.Err())
		case <-node.done:
			return Error.New("the control host has stopped")
		case <-node.options.Clock.After(formRetryDelay):
		}
	}
}

func (node *Node) tryForm(ctx context.Context) (bool, error) {
	if node.Status().Formed {
		return true, nil
	}
	if node.options.JoinOnly || !slices.Contains(node.options.InitialMembers, node.options.Address) {
		return false, nil
	}
	members, complete := node.queryInitial()
	if node.Status().Formed {
		return true, nil
	}
	if adopted := node.adoptableFormation(members); adopted != nil {
		return true, node.formWith(ctx, *adopted)
	}
	if !complete || !node.hasLowestAddress() {
		return false, nil
	}
	first := formation{format: state.LatestFormat}
	for _, member := range members {
		if member.reply.Formed {
			return false, nil
		}
		first.members.Voters = append(first.members.Voters, raft.Member{ID: member.reply.ID, Address: member.address})
		first.format = min(first.format, member.reply.Format)
	}
	return true, node.formWith(ctx, first)
}

// helloResult is the reply of one initial member.
type helloResult struct {
	address netip.AddrPort
	reply   HelloReply
}

// queryInitial queries all initial members and reports whether all of them
// replied.
func (node *Node) queryInitial() ([]helloResult, bool) {
	var found []helloResult
	for _, address := range node.options.InitialMembers {
		if address == node.options.Address {
			found = append(found, helloResult{address: address, reply: node.hello()})
			continue
		}
		connection := newConnection(address, node.options.Secret, &node.inbound)
		reply := HelloReply{}
		err := connection.call("Control.Hello", HelloArgs{}, &reply, helloTimeout)
		connection.close()
		if err == nil {
			found = append(found, helloResult{address: address, reply: reply})
		}
	}
	return found, len(found) == len(node.options.InitialMembers)
}

// adoptableFormation returns what a formed group that contains this node's disk was formed
// with, or nil.
func (node *Node) adoptableFormation(members []helloResult) *formation {
	for _, member := range members {
		if member.reply.Formed && member.reply.First.IsVoter(node.id) {
			return &formation{members: member.reply.First, format: member.reply.FirstFormat}
		}
	}
	return nil
}

func (node *Node) hasLowestAddress() bool {
	return slices.MinFunc(node.options.InitialMembers, netip.AddrPort.Compare) == node.options.Address
}

func (node *Node) formWith(ctx context.Context, first formation) error {
	reply := make(chan error, 1)
	if err := node.enqueue(ctx, formRequest{first: first, reply: reply}); err != nil {
		return err
	}
	select {
	case err := <-reply:
		return err
	case <-ctx.Done():
		return Error.New("form group: %w", ctx.Err())
	}
}
