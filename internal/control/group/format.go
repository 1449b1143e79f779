package group

import (
	"time"

	"damaskcrank.example/damaskcrank/internal/control/raft"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

const (
	// formatSettleTime is how long all members must have known a later format of the log
	// before the group uses it. Until then an upgrade can be undone.
	formatSettleTime = 10 * time.Minute
	// formatRetryInterval is the time between two proposals of a format.
	formatRetryInterval = 10 * time.Second
)

// formats tracks which formats of the log the members know. The zero value knows none.
type formats struct {
	known map[raft.MemberID]uint64
	// target is the latest format that all members know, since settlingSince.
	target        uint64
	settlingSince time.Time
	nextProposal  time.Time
	nextWarning   time.Time
}

// record records the format that a member stated in its latest message.
func (formats *formats) record(id raft.MemberID, format uint64) {
	if formats.known == nil {
		formats.known = map[raft.MemberID]uint64{}
	}
	formats.known[id] = format
}

// admits reports whether messages of a sender may be processed. A member that does not know
// the format in use skips entries, so its votes and answers must not count.
func (*formats) admits(message deliverRequest, inUse uint64) bool { return message.format >= inUse }

// due returns the format that the group should use now, if it is a later one than that in
// use.
func (formats *formats) due(now time.Time, self raft.MemberID, members raft.Members, inUse uint64) (uint64, bool) {
	target := state.LatestFormat
	for _, member := range members.All() {
		if member.ID != self {
			target = min(target, formats.known[member.ID])
		}
	}
	if target != formats.target {
		formats.target, formats.settlingSince = target, now
	}
	settled := now.Sub(formats.settlingSince) >= formatSettleTime
	return target, target > inUse && settled && !now.Before(formats.nextProposal)
}

// reconcileFormat proposes a later format of the log once all members have known it for
// formatSettleTime.
func (node *Node) reconcileFormat(work *batchWork) {
	if node.core.Role() != raft.RoleLeader || node.machine.Format >= state.LatestFormat {
		return
	}
	now := node.options.Clock.Now()
	format, due := node.formats.due(now, node.id, node.core.Members(), node.machine.Format)
	if !due {
		return
	}
	node.formats.nextProposal = now.Add(formatRetryInterval)
	data, err := state.EncodeCommand(state.SetFormat{Format: format})
	if err != nil {
		node.options.Log.WithError(err).Errorf(logPrefix+"cannot propose format %d of the log", format)
		return
	}
	node.step(raft.Propose{Commands: [][]byte{data}}, work)
	node.options.Log.WithField("format", format).Info(logPrefix + "all members know a later format of the log, using it")
}

// logged returns the encoding of a proposal's command for the log.
func (node *Node) logged(proposal proposeRequest) ([]byte, error) {
	command := proposal.command
	if node.machine.Format >= state.FormatCheckedItems {
		var err error
		if command, err = state.Checked(command); err != nil {
			return nil, Error.New("propose: %w", err)
		}
	}
	if proposal.id.Proposer == 0 || node.machine.Format < state.FormatIdentified {
		return command, nil
	}
	command, err := state.Identify(proposal.id, command)
	if err != nil {
		return nil, Error.New("propose: %w", err)
	}
	return command, nil
}

// logOutdated logs, at most once in formatRetryInterval, that messages of a member are
// dropped.
func (node *Node) logOutdated(message deliverRequest) {
	now := node.options.Clock.Now()
	if now.Before(node.formats.nextWarning) {
		return
	}
	node.formats.nextWarning = now.Add(formatRetryInterval)
	node.options.Log.WithField("from", message.from.String()).WithField("knows", message.format).WithField("inUse", node.machine.Format).
		Warn(logPrefix + "ignoring a control host whose version does not know the format of the log")
}
