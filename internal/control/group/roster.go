package group

import (
	"context"
	"slices"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/raft"
)

const (
	// joinInterval is how often a host outside the group asks to join.
	joinInterval = 200 * time.Millisecond
	// joinTimeout bounds one question, so that a silent host costs little.
	joinTimeout = 400 * time.Millisecond
	// joinerFresh is how long a question to join counts.
	joinerFresh = 2 * time.Second
	// memberPatience is how long a voter may be silent before a caught-up
	// learner takes its place.
	memberPatience = 3 * time.Second
	// learnerPatience is how long a learner may be silent.
	learnerPatience = 10 * time.Second
	// rosterInterval is the least time between two looks at the membership.
	rosterInterval = 100 * time.Millisecond
)

// joiner is a host that asked to join.
type joiner struct {
	member raft.Member
	at     time.Time
}

// roster is what the leader knows of hosts that want to join. The zero roster
// is empty.
type roster struct {
	joiners map[raft.MemberID]joiner
	lookAt  time.Time
}

// rosterView is what the choice of a membership change depends on.
type rosterView struct {
	self    raft.MemberID
	members raft.Members
	voters  int
	now     time.Time
	// since is when the member became leader.
	since   time.Time
	joiners []joiner
	contact func(raft.MemberID) time.Time
	// caughtUp tells whether a learner holds all but the last few entries.
	caughtUp func(raft.MemberID) bool
}

func (rosterview rosterView) silent(id raft.MemberID) time.Duration {
	if id == rosterview.self {
		return 0
	}
	heard := rosterview.contact(id)
	if heard.Before(rosterview.since) {
		heard = rosterview.since
	}
	return rosterview.now.Sub(heard)
}

// next returns the membership change that is due, if any: a member whose disk
// was replaced leaves, hosts that ask become learners, learners that caught up
// become voters, and take the place of voters that are gone.
func (rosterview rosterView) next() (ChangeArgs, bool) {
	for _, choose := range []func() (ChangeArgs, bool){
		rosterview.replacedDisk, rosterview.lostLearner, rosterview.newLearner, rosterview.newVoter,
	} {
		if change, due := choose(); due {
			return change, true
		}
	}
	return ChangeArgs{}, false
}

// replacedDisk removes a member at whose address a host with another disk runs.
func (rosterview rosterView) replacedDisk() (ChangeArgs, bool) {
	for _, joiner := range rosterview.joiners {
		for _, member := range rosterview.members.All() {
			same := member.Address == joiner.member.Address && member.ID != joiner.member.ID
			if same && member.ID != rosterview.self && rosterview.mayLose(member.ID) {
				return ChangeArgs{Kind: ChangeRemove, Member: member}, true
			}
		}
	}
	return ChangeArgs{}, false
}

// mayLose tells whether the voters that answer are a quorum without the member.
func (rosterview rosterView) mayLose(id raft.MemberID) bool {
	if !rosterview.members.Voter(id) {
		return true
	}
	rest, alive := 0, 0
	for _, voter := range rosterview.members.Voters {
		if voter.ID == id {
			continue
		}
		rest++
		if rosterview.silent(voter.ID) < memberPatience {
			alive++
		}
	}
	return rest > 1 && alive > rest/2
}

func (rosterview rosterView) lostLearner() (ChangeArgs, bool) {
	for _, learner := range rosterview.members.Learners {
		if rosterview.silent(learner.ID) > learnerPatience {
			return ChangeArgs{Kind: ChangeRemove, Member: learner}, true
		}
	}
	return ChangeArgs{}, false
}

func (rosterview rosterView) newLearner() (ChangeArgs, bool) {
	for _, joiner := range rosterview.joiners {
		taken := slices.ContainsFunc(rosterview.members.All(), func(member raft.Member) bool {
			return member.ID == joiner.member.ID || member.Address == joiner.member.Address
		})
		if !taken {
			return ChangeArgs{Kind: ChangeAdd, Member: joiner.member}, true
		}
	}
	return ChangeArgs{}, false
}

// newVoter promotes a learner, or makes room for it.
func (rosterview rosterView) newVoter() (ChangeArgs, bool) {
	for _, learner := range rosterview.members.Learners {
		if !rosterview.caughtUp(learner.ID) || rosterview.silent(learner.ID) > joinerFresh {
			continue
		}
		if len(rosterview.members.Voters) < rosterview.voters {
			return ChangeArgs{Kind: ChangePromote, Member: learner}, true
		}
		for _, voter := range rosterview.members.Voters {
			if rosterview.silent(voter.ID) > memberPatience && rosterview.mayLose(voter.ID) {
				return ChangeArgs{Kind: ChangeRemove, Member: voter}, true
			}
		}
	}
	return ChangeArgs{}, false
}

// tendRoster makes the membership change that is due, while the node leads.
func (node *Node) tendRoster(work *turnWork) {
	now := node.options.Clock.Now()
	if node.options.Voters == 0 || node.core.Role() != raft.RoleLeader || now.Before(node.roster.lookAt) {
		return
	}
	node.roster.lookAt = now.Add(rosterInterval)
	view := rosterView{
		self: node.id, members: node.core.Members(), voters: node.options.Voters, now: now,
		since: node.core.LeaderSince(), contact: node.core.Contact,
		caughtUp: func(id raft.MemberID) bool {
			match := node.core.Match(id)
			return match > 0 && match+promoteLag >= node.core.LastIndex()
		},
	}
	for id, joiner := range node.roster.joiners {
		if now.Sub(joiner.at) > joinerFresh {
			delete(node.roster.joiners, id)
			continue
		}
		view.joiners = append(view.joiners, joiner)
	}
	change, due := view.next()
	if !due {
		return
	}
	members, err := node.changedMembers(change)
	if err != nil {
		node.options.Log.WithError(err).Warn(logPrefix + "a membership change can't be made")
		return
	}
	if output := node.step(raft.ProposeMembers{Members: members}, work); output.Err != nil {
		return // the change before it is not committed yet; the next look tries again
	}
	node.options.Log.WithField("change", string(change.Kind)).WithField("member", string(change.Member.ID)).
		WithField("voters", len(members.Voters)).Info(logPrefix + "membership changes")
}

// noteJoiner remembers a host that wants to join, while the node leads.
func (node *Node) noteJoiner(member raft.Member) JoinReply {
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
	reply.Member = members.Voter(member.ID) || members.Learner(member.ID)
	if !reply.Member {
		if node.roster.joiners == nil {
			node.roster.joiners = map[raft.MemberID]joiner{}
		}
		node.roster.joiners[member.ID] = joiner{member: member, at: node.options.Clock.Now()}
	}
	return reply
}

// Join asks the control hosts to take the node in whenever it knows no leader,
// until the context ends.
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
		if node.Status().Leader == "" {
			client.join(self)
		}
	}
}
