package raft

import "time"

// startElection asks for promises first, so that a member that was cut off
// can't disturb a working leader, and only then for votes.
func (core *Core) startElection(preVote, transfer bool, now time.Time) {
	core.resetDeadline(now)
	if !core.members.Voter(core.config.ID) {
		return
	}
	core.failReads()
	core.role = RoleCandidate
	core.leader = ""
	core.peers = nil
	core.transfer = ""
	core.preVote = preVote
	core.votes = map[MemberID]bool{core.config.ID: true}
	term := core.hard.Term + 1
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
	if core.promisedToLeader(now) && !request.Transfer {
		core.send(from, VoteResponse{Term: core.hard.Term, PreVote: request.PreVote})
		return
	}
	if !request.PreVote && request.Term > core.hard.Term {
		core.becomeFollower(request.Term, "", now)
	}
	granted := core.wouldVote(from, request)
	if granted && !request.PreVote {
		core.setTerm(request.Term, from)
		core.resetDeadline(now)
	}
	term := core.hard.Term
	if granted {
		term = request.Term
	}
	core.send(from, VoteResponse{Term: term, PreVote: request.PreVote, Granted: granted})
}

// promisedToLeader tells whether the member heard from a leader so lately that
// the leader counts on it.
func (core *Core) promisedToLeader(now time.Time) bool {
	if core.role == RoleLeader {
		return now.Before(core.LeaseEnd())
	}
	return now.Sub(core.heardAt) < core.config.ElectionTimeout
}

func (core *Core) wouldVote(from MemberID, request VoteRequest) bool {
	lastTerm := core.log.lastTerm()
	upToDate := request.LastTerm > lastTerm ||
		request.LastTerm == lastTerm && request.LastIndex >= core.log.lastIndex()
	if !upToDate {
		return false
	}
	if request.PreVote {
		return request.Term > core.hard.Term
	}
	return request.Term == core.hard.Term && (core.hard.Vote == "" || core.hard.Vote == from)
}

func (core *Core) handleVoteResponse(from MemberID, response VoteResponse, now time.Time) {
	if response.Term > core.hard.Term && !response.Granted {
		core.becomeFollower(response.Term, "", now)
		return
	}
	if core.role != RoleCandidate || response.PreVote != core.preVote || !response.Granted {
		return
	}
	expected := core.hard.Term
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
	core.since = now
	core.peers = map[MemberID]*progress{}
	core.reads = nil
	core.syncPeers()
	core.termNoop = core.log.lastIndex() + 1
	core.append(Entry{Index: core.termNoop, Term: core.hard.Term, Kind: EntryNoop})
	core.broadcast(now)
}
