package group

import (
	"slices"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/raft"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

// maxPromoteLag is how many entries a learner may be behind when it is promoted
// to voter.
const maxPromoteLag = 64

// respondTimeouts is the silence, in election timeouts, from which a leader without a
// quorum steps down.
const respondTimeouts = 2

// changedMembers returns the membership that results from the change.
func (node *Node) changedMembers(args ChangeArgs) (raft.Members, error) {
	members := node.core.Members()
	id := args.Member.ID
	switch args.Kind {
	case ChangeAdd:
		if members.IsVoter(id) || members.IsLearner(id) {
			return raft.Members{}, Error.New("%s is already a member", id)
		}
		members.Learners = append(members.Learners, args.Member)
	case ChangePromote:
		position := slices.IndexFunc(members.Learners, func(member raft.Member) bool { return member.ID == id })
		if position < 0 {
			return raft.Members{}, Error.New("%s is not a learner", id)
		}
		if match := node.core.MatchIndex(id); match == 0 || match+maxPromoteLag < node.core.LastIndex() {
			return raft.Members{}, Error.New("learner %s has not caught up: it matches entry %d of %d", id, match, node.core.LastIndex())
		}
		members.Voters = append(members.Voters, members.Learners[position])
		members.Learners = slices.Delete(members.Learners, position, position+1)
	case ChangeRemove:
		if !members.IsVoter(id) && !members.IsLearner(id) {
			return raft.Members{}, Error.New("%s is not a member", id)
		}
		same := func(member raft.Member) bool { return member.ID == id }
		members.Voters = slices.DeleteFunc(members.Voters, same)
		members.Learners = slices.DeleteFunc(members.Learners, same)
	default:
		return raft.Members{}, Error.New("unknown membership change %q", args.Kind)
	}
	return members, nil
}

// transfer starts a leadership transfer to the voter with the longest matching log, if
// possible to one that responds and is not about to stop itself.
func (node *Node) transfer(work *batchWork) bool {
	if node.core.Role() != raft.RoleLeader {
		return false
	}
	view := node.membershipView(node.options.Clock.Now())
	var target raft.MemberID
	var targetStays bool
	for _, member := range view.members.Voters {
		if member.ID == node.id {
			continue
		}
		stays := view.silentFor(member.ID) <= node.respondTime() && !view.isLeaving(member.ID)
		longer := node.core.MatchIndex(member.ID) > node.core.MatchIndex(target)
		if target == "" || stays && !targetStays || stays == targetStays && longer {
			target, targetStays = member.ID, stays
		}
	}
	return target != "" && node.step(raft.Transfer{To: target}, work).Err == nil
}

// respondTime is how long a member may be silent and still counts as responding.
func (node *Node) respondTime() time.Duration { return respondTimeouts * node.options.Timing.Election }

// hello returns the identity of the member and the membership its group was
// formed with.
func (node *Node) hello() HelloReply {
	status := node.Status()
	reply := HelloReply{ID: node.id, Formed: status.Formed, Format: state.LatestFormat}
	if first := node.formedWith.Load(); first != nil {
		reply.First, reply.FirstFormat = first.members, first.format
	}
	return reply
}

// form installs the first snapshot, which is identical on all initial members. It
// first persists the outputs of the batch, so that the new core keeps their vote.
func (node *Node) form(first formation, work *batchWork) error {
	if len(node.core.Members().Voters) > 0 {
		return nil
	}
	node.processOutputs(work)
	if node.failed != nil {
		return node.failed
	}
	machine := state.NewMachine()
	machine.Format = first.format
	data, err := machine.Snapshot()
	if err != nil {
		return Error.New("form group: %w", err)
	}
	snapshot := raft.Snapshot{Index: 1, Term: 1, Members: first.members, Data: data}
	if err := node.installSnapshot(snapshot); err != nil {
		return Error.New("form group: %w", err)
	}
	config := node.coreConfig()
	node.core = raft.NewCore(config, node.hardState, snapshot, nil, node.options.Clock.Now())
	node.formedWith.Store(&first)
	return nil
}
