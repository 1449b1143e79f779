package group

import (
	"cmp"
	"context"
	"slices"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/raft"
)

const (
	// leaveInterval is the time between two requests of a host that waits to leave.
	leaveInterval = 50 * time.Millisecond
	// leaveRequestTTL is how long a request to leave remains valid. A host that asked and
	// runs on after it counts as before.
	leaveRequestTTL = time.Second
)

// LeaveArgs tells the leader that a member is about to stop.
type LeaveArgs struct{ Member raft.MemberID }

// LeaveReply reports whether the member should wait and ask again, since a learner is
// taking its place, and whether it is still a voter. Leader is the address of the leader that
// the replying member knows of.
type LeaveReply struct {
	NotLeader bool
	Leader    string
	Pending   bool
	Voter     bool
}

type leaveRequest struct {
	member raft.MemberID
	reply  chan LeaveReply
}

func (leaveRequest) request() {}

// leaver is a member that is about to stop.
type leaver struct {
	id raft.MemberID
	// since is when it first asked, and requestedAt when it last did.
	since       time.Time
	requestedAt time.Time
}

// recordLeaver records a request to leave.
func (membership *membership) recordLeaver(id raft.MemberID, now time.Time) {
	if membership.leavers == nil {
		membership.leavers = map[raft.MemberID]leaver{}
	}
	known, ok := membership.leavers[id]
	if !ok {
		known = leaver{id: id, since: now}
	}
	known.requestedAt = now
	membership.leavers[id] = known
}

// currentLeavers returns the members that are about to stop, those first that asked first,
// and forgets requests that are no longer valid.
func (membership *membership) currentLeavers(now time.Time) []leaver {
	var current []leaver
	for id, leaver := range membership.leavers {
		if now.Sub(leaver.requestedAt) > leaveRequestTTL {
			delete(membership.leavers, id)
			continue
		}
		current = append(current, leaver)
	}
	slices.SortFunc(current, func(left, right leaver) int {
		return cmp.Or(left.since.Compare(right.since), cmp.Compare(left.id, right.id))
	})
	return current
}

func (membershipview membershipView) isLeaving(id raft.MemberID) bool {
	return slices.ContainsFunc(membershipview.leavers, func(leaver leaver) bool { return leaver.id == id })
}

// successor returns a learner that can become a voter now: it has caught up, responds and
// is not about to stop.
func (membershipview membershipView) successor() (raft.Member, bool) {
	for _, learner := range membershipview.members.Learners {
		if membershipview.caughtUp(learner.ID) && membershipview.awaitsPromotion(learner.ID) {
			return learner, true
		}
	}
	return raft.Member{}, false
}

// awaitsPromotion reports whether a learner may become a voter once it has caught up.
func (membershipview membershipView) awaitsPromotion(id raft.MemberID) bool {
	return membershipview.silentFor(id) <= joinRequestTTL && !membershipview.isLeaving(id)
}

// leavingVoter exchanges a voter that is about to stop for a learner. The learner becomes a
// voter first, so that the group bears as many losses in between as before.
func (membershipview membershipView) leavingVoter() (ChangeArgs, bool) {
	for _, leaver := range membershipview.leavers {
		position := slices.IndexFunc(membershipview.members.Voters, func(voter raft.Member) bool { return voter.ID == leaver.id })
		if position < 0 {
			continue
		}
		if len(membershipview.members.Voters) > membershipview.targetVoters {
			if leaver.id != membershipview.self && membershipview.quorumWithout(leaver.id) {
				return ChangeArgs{Kind: ChangeRemove, Member: membershipview.members.Voters[position]}, true
			}
			continue
		}
		if successor, ok := membershipview.successor(); ok {
			return ChangeArgs{Kind: ChangePromote, Member: successor}, true
		}
	}
	return ChangeArgs{}, false
}

// surplusVoter removes an unresponsive voter beyond the target, which an exchange left
// behind that was cut short.
func (membershipview membershipView) surplusVoter() (ChangeArgs, bool) {
	if len(membershipview.members.Voters) <= membershipview.targetVoters {
		return ChangeArgs{}, false
	}
	for _, voter := range membershipview.members.Voters {
		if membershipview.silentFor(voter.ID) > voterTimeout && membershipview.quorumWithout(voter.ID) {
			return ChangeArgs{Kind: ChangeRemove, Member: voter}, true
		}
	}
	return ChangeArgs{}, false
}

// exchangePending reports whether a member that is about to stop should wait for a learner
// to take its place.
func (membershipview membershipView) exchangePending(id raft.MemberID) bool {
	if !membershipview.members.IsVoter(id) {
		return false
	}
	return len(membershipview.members.Voters) > membershipview.targetVoters ||
		slices.ContainsFunc(membershipview.members.Learners, func(learner raft.Member) bool {
			return membershipview.awaitsPromotion(learner.ID)
		})
}

// leave records that a member is about to stop. A leader that is about to stop itself hands
// leadership over once its successor is a voter, since only another leader can remove it.
func (node *Node) leave(id raft.MemberID, work *batchWork) LeaveReply {
	if node.core.Role() != raft.RoleLeader {
		return LeaveReply{NotLeader: true, Leader: node.leaderAddress()}
	}
	if node.options.TargetVoters == 0 {
		return LeaveReply{}
	}
	now := node.options.Clock.Now()
	node.membership.recordLeaver(id, now)
	view := node.membershipView(now)
	uncommitted := node.core.CommittedMembers().IsVoter(id) && !view.members.IsVoter(id)
	reply := LeaveReply{Pending: uncommitted || view.exchangePending(id), Voter: view.members.IsVoter(id)}
	exchanged := len(node.core.CommittedMembers().Voters) > node.options.TargetVoters
	if id == node.id && exchanged && !node.core.Transferring() && node.transfer(work) {
		node.options.Log.Info(logPrefix + "handing leadership over to be removed from the group")
	}
	return reply
}

// Leave tells the leader that this member is about to stop, and waits until a learner has
// taken its place, or until the context ends. It returns false at once if there is no
// learner that could. The member does not ask to join again.
func (node *Node) Leave(ctx context.Context, client *Client) (replaced bool, err error) {
	node.leaving.Store(true)
	if !node.mayExchange() {
		return false, nil
	}
	for waited := false; ; waited = true {
		reply, err := node.requestLeave(ctx, client)
		if err != nil || !reply.Pending {
			return waited && !reply.Voter && err == nil, err
		}
		select {
		case <-ctx.Done():
			return false, Error.New("wait for a learner to take this member's place: %w", ctx.Err())
		case <-node.done:
			return false, Error.New("the control host has stopped")
		case <-node.options.Clock.After(leaveInterval):
		}
	}
}

// mayExchange reports whether a learner may take this member's place, or this member is a
// learner itself, which the leader should not promote any more.
func (node *Node) mayExchange() bool {
	status, target := node.Status(), node.options.TargetVoters
	return target > 0 && (status.Voters() < len(status.Members) || status.Voters() > target)
}

// requestLeave asks this member if it leads, or else the leader.
func (node *Node) requestLeave(ctx context.Context, client *Client) (LeaveReply, error) {
	own, err := node.askLeave(ctx, node.id)
	if err != nil || !own.NotLeader {
		return own, err
	}
	var reply LeaveReply
	err = client.withLeader(ctx, func(connection *connection) (bool, string, error) {
		attemptReply := LeaveReply{}
		err := connection.callWithin(ctx, "Control.Leave", LeaveArgs{Member: node.id}, &attemptReply, leaderTimeout)
		switch {
		case isUnknownMethod(err):
			return true, "", nil // the leader is of an earlier version, and replaces unresponsive voters only
		case err != nil:
			return false, "", err
		}
		reply = attemptReply
		return !reply.NotLeader, reply.Leader, nil
	})
	return reply, err
}

func (node *Node) askLeave(ctx context.Context, id raft.MemberID) (LeaveReply, error) {
	answer := make(chan LeaveReply, 1)
	if err := node.enqueue(ctx, leaveRequest{member: id, reply: answer}); err != nil {
		return LeaveReply{}, err
	}
	select {
	case reply := <-answer:
		return reply, nil
	case <-node.done:
		return LeaveReply{}, Error.New("leave: the control host has stopped")
	case <-ctx.Done():
		return LeaveReply{}, Error.New("leave: %w", ctx.Err())
	}
}

// Leave records that a member of the group is about to stop.
func (control *Control) Leave(args LeaveArgs, reply *LeaveReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	var err error
	*reply, err = control.node.askLeave(ctx, args.Member)
	return err
}
