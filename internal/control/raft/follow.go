package raft

// handleAppend stores the leader's entries after the last matching one.
func (core *Core) handleAppend(from MemberID, request AppendRequest) {
	if request.PrevIndex < core.log.snapshot.Index {
		request = core.skipCompacted(request)
	}
	term, ok := core.log.term(request.PrevIndex)
	if !ok || term != request.PrevTerm {
		core.send(from, AppendResponse{Term: core.hardState.Term, Hint: core.conflictHint(request.PrevIndex), Round: request.Round})
		return
	}
	for _, entry := range request.Entries {
		core.insertEntry(entry)
	}
	match := request.PrevIndex + uint64(len(request.Entries))
	if commit := min(request.Commit, match); commit > core.commit {
		core.commit = commit
	}
	core.send(from, AppendResponse{Term: core.hardState.Term, Success: true, Match: match, Round: request.Round})
}

// skipCompacted drops the entries that the member's snapshot already covers.
func (core *Core) skipCompacted(request AppendRequest) AppendRequest {
	covered := core.log.snapshot.Index - request.PrevIndex
	request.PrevIndex = core.log.snapshot.Index
	request.PrevTerm = core.log.snapshot.Term
	request.Entries = request.Entries[min(covered, uint64(len(request.Entries))):]
	return request
}

// conflictHint returns the last index before the conflicting term, so that the
// leader can skip a whole term at once.
func (core *Core) conflictHint(prevIndex uint64) uint64 {
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

// insertEntry adds the entry unless the log already has it. If another entry is
// at its index, the log is truncated from there first.
func (core *Core) insertEntry(entry Entry) {
	term, ok := core.log.term(entry.Index)
	if ok && term == entry.Term {
		return
	}
	if ok {
		core.log.truncate(entry.Index)
		core.syncedIndex = min(core.syncedIndex, entry.Index-1)
		core.revertMembersFrom(entry.Index)
	}
	core.append(entry)
}

// handleSnapshot replaces the log with the snapshot. It keeps a log that contains the
// snapshot's last entry, since entries after it may have been acknowledged.
func (core *Core) handleSnapshot(from MemberID, request SnapshotRequest) {
	snapshot := request.Snapshot
	response := AppendResponse{Term: core.hardState.Term, Success: true, Match: snapshot.Index, Round: request.Round}
	if snapshot.Index <= core.commit {
		response.Match = core.commit
		core.send(from, response)
		return
	}
	if term, ok := core.log.term(snapshot.Index); ok && term == snapshot.Term {
		core.commit = snapshot.Index
		core.send(from, response)
		return
	}
	core.log = memoryLog{snapshot: snapshot}
	core.history = nil
	core.setMembers(snapshot.Index, snapshot.Members)
	core.commit = snapshot.Index
	core.applied = snapshot.Index
	core.syncedIndex = snapshot.Index
	core.output.Snapshot = &snapshot
	core.send(from, response)
}
