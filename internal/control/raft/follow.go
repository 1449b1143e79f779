package raft

// handleAppend writes the leader's entries after the last common one.
func (core *Core) handleAppend(from MemberID, request AppendRequest) {
	if request.PrevIndex < core.log.snapshot.Index {
		request = core.skipCompacted(request)
	}
	term, ok := core.log.term(request.PrevIndex)
	if !ok || term != request.PrevTerm {
		core.send(from, AppendResponse{Term: core.hard.Term, Hint: core.hint(request.PrevIndex), Round: request.Round})
		return
	}
	for _, entry := range request.Entries {
		core.place(entry)
	}
	match := request.PrevIndex + uint64(len(request.Entries))
	if commit := min(request.Commit, match); commit > core.commit {
		core.commit = commit
	}
	core.send(from, AppendResponse{Term: core.hard.Term, Success: true, Match: match, Round: request.Round})
}

// skipCompacted drops the entries that the member's snapshot already covers.
func (core *Core) skipCompacted(request AppendRequest) AppendRequest {
	covered := core.log.snapshot.Index - request.PrevIndex
	request.PrevIndex = core.log.snapshot.Index
	request.PrevTerm = core.log.snapshot.Term
	request.Entries = request.Entries[min(covered, uint64(len(request.Entries))):]
	return request
}

// hint returns the last index before the conflicting term, so that the leader
// skips a whole term at once.
func (core *Core) hint(prevIndex uint64) uint64 {
	if prevIndex > core.log.lastIndex() {
		return core.log.lastIndex()
	}
	conflict, _ := core.log.term(prevIndex)
	index := prevIndex
	for index > core.commit {
		term, _ := core.log.term(index)
		if term != conflict {
			break
		}
		index--
	}
	return index
}

// place appends the entry, or replaces a conflicting tail by it.
func (core *Core) place(entry Entry) {
	term, ok := core.log.term(entry.Index)
	if ok && term == entry.Term {
		return
	}
	if ok {
		core.log.truncate(entry.Index)
		core.synced = min(core.synced, entry.Index-1)
		core.dropMembersFrom(entry.Index)
	}
	core.append(entry)
}

func (core *Core) handleSnapshot(from MemberID, request SnapshotRequest) {
	snapshot := request.Snapshot
	response := AppendResponse{Term: core.hard.Term, Success: true, Match: snapshot.Index, Round: request.Round}
	if snapshot.Index <= core.commit {
		response.Match = core.commit
		core.send(from, response)
		return
	}
	core.log = memoryLog{snapshot: snapshot}
	core.history = nil
	core.setMembers(snapshot.Index, snapshot.Members)
	core.commit = snapshot.Index
	core.applied = snapshot.Index
	core.synced = snapshot.Index
	core.output.Snapshot = &snapshot
	core.send(from, response)
}
