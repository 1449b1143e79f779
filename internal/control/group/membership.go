package group

import (
	"context"
	"slices"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/raft"
)

const (
	// joinInterval is the time between two join requests of a host outside the
	// group.
	joinInterval = 200 * time.Millisecond
	// joinTimeout bounds one join request, so that an unresponsive host delays
	// the others only briefly.
	joinTimeout = 400 * time.Millisecond
	// joinRequestTTL is how long a join request remains valid. It is also the
	// longest time without contact after which a learner may still become a
	// voter.
	joinRequestTTL = 2 * time.Second
	// voterTimeout is how long a voter may be unresponsive before a learner that
	// has caught up replaces it.
	voterTimeout = 3 * time.Second
	// learnerTimeout is how long a learner may be unresponsive before it is
	// removed.
	learnerTimeout = 10 * time.Second
	// reconcileInterval is the minimum time between two checks of the
	// membership.
	reconcileInterval = 100 * time.Millisecond
)

// joiner is a host that has asked to join the group.
type joiner struct {
	member      raft.Member
	requestedAt time.Time
}

// membership tracks the requests to join and to leave that the leader has received. The zero
// value has none.
type membership struct {
	joiners       map[raft.MemberID]joiner
	leavers       map[raft.MemberID]leaver
	nextReconcile time.Time
}

// membershipView is the input for choosing the next membership change.
type membershipView struct {
	self         raft.MemberID
	members      raft.Members
	targetVoters int
	now          time.Time
	// leaderSince is when this member became leader.
	leaderSince time.Time
	joiners     []joiner
	// leavers holds the members that are about to stop, those first that asked first.
	leavers []leaver
	contact func(raft.MemberID) time.Time
	// caughtUp reports whether a learner holds all but the last few entries.
	caughtUp func(raft.MemberID) bool
}

// silentFor returns the time since the last contact with a member, at most the
// time since this member became leader.
func (membershipview membershipView) silentFor(id raft.MemberID) time.Duration {
	if id == membershipview.self {
		return 0
	}
	lastContact := membershipview.contact(id)
	if lastContact.Before(membershipview.leaderSince) {
		lastContact = membershipview.leaderSince
	}
	return membershipview.now.Sub(lastContact)
}

// nextChange returns the next membership change that is due, if any. A member
// whose disk was replaced and learners that are unresponsive are removed, hosts
// that ask to join become learners, and learners that have caught up become
// voters or replace voters that are about to stop or unresponsive.
func (membershipview membershipView) nextChange() (ChangeArgs, bool) {
	for _, rule := range []func() (ChangeArgs, bool){
		membershipview.replacedDisk, membershipview.unresponsiveLearner, membershipview.newLearner,
		membershipview.leavingVoter, membershipview.surplusVoter, membershipview.newVoter,
	} {
		if change, due := rule(); due {
			return change, true
		}
	}
	return ChangeArgs{}, false
}

// replacedDisk removes a member whose address is now used by a host with another
// disk.
func (membershipview membershipView) replacedDisk() (ChangeArgs, bool) {
	for _, joiner := range membershipview.joiners {
		for _, member := range membershipview.members.All() {
			same := member.Address == joiner.member.Address && member.ID != joiner.member.ID
			if same && member.ID != membershipview.self && membershipview.quorumWithout(member.ID) {
				return ChangeArgs{Kind: ChangeRemove, Member: member}, true
			}
		}
	}
	return ChangeArgs{}, false
}

// quorumWithout reports whether the responding voters form a quorum after the
// removal of the member.
func (membershipview membershipView) quorumWithout(id raft.MemberID) bool {
	if !membershipview.members.IsVoter(id) {
		return true
	}
	others, responding := 0, 0
	for _, voter := range membershipview.members.Voters {
		if voter.ID == id {
			continue
		}
		others++
		if membershipview.silentFor(voter.ID) < voterTimeout {
			responding++
		}
	}
	return (others > 1 || others >= membershipview.targetVoters) && responding > others/2
}

// losses returns how many further voters may be lost before the others form no quorum.
// Voters that are about to stop or have not responded for the given time count as lost.
func (membershipview membershipView) losses(silence time.Duration) int {
	responding := 0
	for _, voter := range membershipview.members.Voters {
		if membershipview.silentFor(voter.ID) <= silence && !membershipview.isLeaving(voter.ID) {
			responding++
		}
	}
	return max(0, responding-membershipview.members.Quorum())
}

func (membershipview membershipView) unresponsiveLearner() (ChangeArgs, bool) {
	for _, learner := range membershipview.members.Learners {
		if membershipview.silentFor(learner.ID) > learnerTimeout {
			return ChangeArgs{Kind: ChangeRemove, Member: learner}, true
		}
	}
	return ChangeArgs{}, false
}

func (membershipview membershipView) newLearner() (ChangeArgs, bool) {
	for _, joiner := range membershipview.joiners {
		taken := slices.ContainsFunc(membershipview.members.All(), func(member raft.Member) bool {
			return member.ID == joiner.member.ID || member.Address == joiner.member.Address
		})
		if !taken {
			return ChangeArgs{Kind: ChangeAdd, Member: joiner.member}, true
		}
	}
	return ChangeArgs{}, false
}

// newVoter promotes a learner, or removes an unresponsive voter to make room for
// it.
func (membershipview membershipView) newVoter() (ChangeArgs, bool) {
	for _, learner := range membershipview.members.Learners {
		if !membershipview.caughtUp(learner.ID) || !membershipview.awaitsPromotion(learner.ID) {
			continue
		}
		if len(membershipview.members.Voters) < membershipview.targetVoters {
			return ChangeArgs{Kind: ChangePromote, Member: learner}, true
		}
		for _, voter := range membershipview.members.Voters {
			if membershipview.silentFor(voter.ID) > voterTimeout && membershipview.quorumWithout(voter.ID) {
				return ChangeArgs{Kind: ChangeRemove, Member: voter}, true
			}
		}
	}
	return ChangeArgs{}, false
}

// reconcileMembership proposes the membership change that is due, while the node
// is the leader.
func (node *Node) reconcileMembership(work *batchWork) {
	now := node.options.Clock.Now()
	if node.options.TargetVoters == 0 || node.core.Role() != raft.RoleLeader || now.Before(node.membership.nextReconcile) {
		return
	}
	node.membership.nextReconcile = now.Add(reconcileInterval)
	view := node.membershipView(now)
	change, due := view.nextChange()
	if !due {
		return
	}
	members, err := node.changedMembers(change)
	if err != nil {
		node.options.Log.WithError(err).Warn(logPrefix + "cannot make the membership change")
		return
	}
	if output := node.step(raft.ProposeMembers{Members: members}, work); output.Err != nil {
		return // the previous change is not committed yet; retried at the next check
	}
	node.options.Log.WithField("change", string(change.Kind)).WithField("member", string(change.Member.ID)).
		WithField("voters", len(members.Voters)).Info(logPrefix + "proposed a membership change")
}

// membershipView returns what the leader knows about the group.
func (node *Node) membershipView(now time.Time) membershipView {
	view := membershipView{
		self: node.id, members: node.core.Members(), targetVoters: node.options.TargetVoters, now: now,
		leaderSince: node.core.LeaderSince(), contact: node.core.LastContact,
		leavers: node.membership.currentLeavers(now),
		caughtUp: func(id raft.MemberID) bool {
			match := node.core.MatchIndex(id)
			return match > 0 && match+maxPromoteLag >= node.core.LastIndex()
		},
	}
	for id, joiner := range node.membership.joiners {
		if now.Sub(joiner.requestedAt) > joinRequestTTL {
			delete(node.membership.joiners, id)
			continue
		}
		view.joiners = append(view.joiners, joiner)
	}
	return view
}

// recordJoiner records a join request if the node is the leader, and replies
// with the known members. A host that does not know the format of the log can't join.
func (node *Node) recordJoiner(member raft.Member, format uint64) JoinReply {
	members := node.core.Members()
	reply := JoinReply{}
	for _, known := range members.All() {
		reply.Members = append(reply.Members, known.Address)
		if known.ID == node.core.Leader() {
			reply.Leader = known.Address
		}
	}
	if node.core.Role() != raft.RoleLeader {
		return reply
	}
	reply.Member = members.IsVoter(member.ID) || members.IsLearner(member.ID)
	if !reply.Member && format >= node.machine.Format {
		if node.membership.joiners == nil {
			node.membership.joiners = map[raft.MemberID]joiner{}
		}
		node.membership.joiners[member.ID] = joiner{member: member, requestedAt: node.options.Clock.Now()}
	}
	return reply
}

// Join asks the control hosts to add the node to their group whenever it knows
// no leader, until the context ends or the node is about to stop. It tells the
// client the members that the node knows, which may replace all that the client
// was given.
func (node *Node) Join(ctx context.Context, client *Client) {
	self := raft.Member{ID: node.id, Address: node.options.Address}
	for {
		select {
		case <-ctx.Done():
			return
		case <-node.done:
			return
		case <-node.options.Clock.After(joinInterval):
		}
		status := node.Status()
		client.AddHosts(status.addresses())
		if status.Leader == "" && !node.leaving.Load() {
			client.join(self)
		}
	}
}
