package group

import (
	"slices"

	"damaskcrank.example/damaskcrank/internal/control/raft"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

// promoteLag is how many entries a learner may lack when it gets its vote.
const promoteLag = 64

// changedMembers returns the membership after the change.
func (node *Node) changedMembers(args ChangeArgs) (raft.Members, error) {
	members := node.core.Members()
	id := args.Member.ID
	switch args.Kind {
	case ChangeAdd:
		if members.Voter(id) || members.Learner(id) {
			return raft.Members{}, Error.New("%s is a member already", id)
		}
		members.Learners = append(members.Learners, args.Member)
	case ChangePromote:
		position := slices.IndexFunc(members.Learners, func(member raft.Member) bool { return member.ID == id })
		if position < 0 {
			return raft.Members{}, Error.New("%s is not a learner", id)
		}
		if match := node.core.Match(id); match == 0 || match+promoteLag < node.core.LastIndex() {
			return raft.Members{}, Error.New("%s has %d of %d entries", id, match, node.core.LastIndex())
		}
		members.Voters = append(members.Voters, members.Learners[position])
		members.Learners = slices.Delete(members.Learners, position, position+1)
	case ChangeRemove:
		if !members.Voter(id) && !members.Learner(id) {
			return raft.Members{}, Error.New("%s is not a member", id)
		}
		same := func(member raft.Member) bool { return member.ID == id }
		members.Voters = slices.DeleteFunc(members.Voters, same)
		members.Learners = slices.DeleteFunc(members.Learners, same)
	default:
		return raft.Members{}, Error.New("membership change %q does not exist", args.Kind)
	}
	return members, nil
}

// transfer hands leadership to the voter that has most of the log.
func (node *Node) transfer(work *turnWork) bool {
	var best raft.MemberID
	for _, member := range node.core.Members().Voters {
		if member.ID != node.id && (best == "" || node.core.Match(member.ID) > node.core.Match(best)) {
			best = member.ID
		}
	}
	if best == "" || node.core.Role() != raft.RoleLeader {
		return false
	}
	return node.step(raft.Transfer{To: best}, work).Err == nil
}

// hello tells which group the member was formed into.
func (node *Node) hello() HelloReply {
	status := node.Status()
	reply := HelloReply{ID: node.id, Formed: status.Formed}
	if first := node.formedWith.Load(); first != nil {
		reply.First = *first
	}
	return reply
}

// form writes the first snapshot, the same on each of the first members.
func (node *Node) form(members raft.Members) error {
	if len(node.core.Members().Voters) > 0 {
		return nil
	}
	machine := state.NewMachine()
	data, err := machine.Snapshot()
	if err != nil {
		return Error.New("form group: %w", err)
	}
	snapshot := raft.Snapshot{Index: 1, Term: 1, Members: members, Data: data}
	if err := node.installSnapshot(snapshot); err != nil {
		return Error.New("form group: %w", err)
	}
	config := node.coreConfig()
	node.core = raft.NewCore(config, node.hard, snapshot, nil, node.options.Clock.Now())
	node.formedWith.Store(&members)
	return nil
}
