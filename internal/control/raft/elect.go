package raft

import "time"

// startElection starts a pre-vote round, so that a partitioned member cannot
// disrupt a working leader, or the vote itself. With transfer set, voters ignore
// that they recently heard from the leader. A member that is not a voter only
// forgets the leader, since it may not be a member of that leader's successors.
func (core *Core) startElection(preVote, transfer bool, now time.Time) {
	core.resetDeadline(now)
	if !core.members.IsVoter(core.config.ID) {
		core.leader = ""
		return
	}
	core.failReads()
	core.role = RoleCandidate
	core.leader = ""
	core.peers = nil
	core.transfer = ""
	core.preVote = preVote
	core.votes = map[MemberID]bool{core.config.ID: true}
	term := core.hardState.Term + 1
	if !preVote {
		core.setTerm(term, core.config.ID)
	}
	request := VoteRequest{
		Term:      term,
		LastIndex: core.log.lastIndex(),
		LastTerm:  core.log.lastTerm(),
		PreVote:   preVote,
		Transfer:  transfer,
	}
	for _, member := range core.members.Voters {
		if member.ID != core.config.ID {
			core.send(member.ID, request)
		}
	}
	core.countVotes(now)
}

func (core *Core) handleVoteRequest(from MemberID, request VoteRequest, now time.Time) {
	if core.inLease(now) && !request.Transfer {
		core.send(from, VoteResponse{Term: core.hardState.Term, PreVote: request.PreVote})
		return
	}
	if !request.PreVote && request.Term > core.hardState.Term {
		core.becomeFollower(request.Term, "", now)
	}
	granted := core.canGrantVote(from, request)
	if granted && !request.PreVote {
		core.setTerm(request.Term, from)
		core.resetDeadline(now)
	}
	term := core.hardState.Term
	if granted {
		term = request.Term
	}
	core.send(from, VoteResponse{Term: term, PreVote: request.PreVote, Granted: granted})
}

// inLease reports whether this member had contact with a leader so recently that
// the leader's lease relies on it.
func (core *Core) inLease(now time.Time) bool {
	if core.role == RoleLeader {
		return now.Before(core.LeaseEnd())
	}
	return now.Sub(core.leaderContactAt) < core.config.ElectionTimeout
}

// canGrantVote reports whether the log of the candidate is up to date and the
// member has not voted for another candidate in the term.
func (core *Core) canGrantVote(from MemberID, request VoteRequest) bool {
	lastTerm := core.log.lastTerm()
	upToDate := request.LastTerm > lastTerm ||
		request.LastTerm == lastTerm && request.LastIndex >= core.log.lastIndex()
	if !upToDate {
		return false
	}
	if request.PreVote {
		return request.Term > core.hardState.Term
	}
	return request.Term == core.hardState.Term && (core.hardState.Vote == "" || core.hardState.Vote == from)
}

func (core *Core) handleVoteResponse(from MemberID, response VoteResponse, now time.Time) {
	if response.Term > core.hardState.Term && !response.Granted {
		core.becomeFollower(response.Term, "", now)
		return
	}
	if core.role != RoleCandidate || response.PreVote != core.preVote || !response.Granted {
		return
	}
	expected := core.hardState.Term
	if core.preVote {
		expected++
	}
	if response.Term != expected {
		return
	}
	core.votes[from] = true
	core.countVotes(now)
}

func (core *Core) countVotes(now time.Time) {
	granted := 0
	for _, member := range core.members.Voters {
		if core.votes[member.ID] {
			granted++
		}
	}
	if granted < core.members.Quorum() {
		return
	}
	if core.preVote {
		core.startElection(false, false, now)
		return
	}
	core.becomeLeader(now)
}

func (core *Core) becomeLeader(now time.Time) {
	core.role = RoleLeader
	core.leader = core.config.ID
	core.leaderSince = now
	core.peers = map[MemberID]*progress{}
	core.reads = nil
	core.syncPeers()
	core.noopIndex = core.log.lastIndex() + 1
	core.append(Entry{Index: core.noopIndex, Term: core.hardState.Term, Kind: EntryNoop})
	core.broadcast(now)
}
