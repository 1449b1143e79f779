package raft

// memoryLog holds the entries after the last snapshot.
type memoryLog struct {
	snapshot Snapshot
	entries  []Entry
}

func (memorylog *memoryLog) lastIndex() uint64 {
	return memorylog.snapshot.Index + uint64(len(memorylog.entries))
}

// term returns the term of the entry at index, and false if the log does not
// contain it.
func (memorylog *memoryLog) term(index uint64) (uint64, bool) {
	if index == memorylog.snapshot.Index {
		return memorylog.snapshot.Term, true
	}
	if index < memorylog.snapshot.Index || index > memorylog.lastIndex() {
		return 0, false
	}
	return memorylog.entries[index-memorylog.snapshot.Index-1].Term, true
}

func (memorylog *memoryLog) lastTerm() uint64 {
	term, _ := memorylog.term(memorylog.lastIndex())
	return term
}

func (memorylog *memoryLog) append(entry Entry) {
	memorylog.entries = append(memorylog.entries, entry)
}

// truncate removes the entry at index and all later ones.
func (memorylog *memoryLog) truncate(index uint64) {
	memorylog.entries = memorylog.entries[:index-memorylog.snapshot.Index-1]
}

// slice returns the entries from first to last, inclusive.
func (memorylog *memoryLog) slice(first, last uint64) []Entry {
	last = min(last, memorylog.lastIndex())
	if first > last || first <= memorylog.snapshot.Index {
		return nil
	}
	base := memorylog.snapshot.Index + 1
	return memorylog.entries[first-base : last-base+1]
}

// compact replaces the entries up to the snapshot's index with the snapshot.
func (memorylog *memoryLog) compact(snapshot Snapshot) {
	var rest []Entry
	if snapshot.Index < memorylog.lastIndex() {
		rest = append(rest, memorylog.entries[snapshot.Index-memorylog.snapshot.Index:]...)
	}
	memorylog.entries = rest
	memorylog.snapshot = snapshot
}
