package raft

// memoryLog holds the entries after the last snapshot.
type memoryLog struct {
	snapshot Snapshot
	entries  []Entry
}

func (log *memoryLog) lastIndex() uint64 {
	return log.snapshot.Index + uint64(len(log.entries))
}

// term returns the term at index, and false where the log does not reach.
func (log *memoryLog) term(index uint64) (uint64, bool) {
	if index == log.snapshot.Index {
		return log.snapshot.Term, true
	}
	if index < log.snapshot.Index || index > log.lastIndex() {
		return 0, false
	}
	return log.entries[index-log.snapshot.Index-1].Term, true
}

func (log *memoryLog) lastTerm() uint64 {
	term, _ := log.term(log.lastIndex())
	return term
}

func (log *memoryLog) append(entry Entry) {
	log.entries = append(log.entries, entry)
}

// truncate drops the entries from index on.
func (log *memoryLog) truncate(index uint64) {
	log.entries = log.entries[:index-log.snapshot.Index-1]
}

// slice returns the entries from first to last, both included.
func (log *memoryLog) slice(first, last uint64) []Entry {
	last = min(last, log.lastIndex())
	if first > last || first <= log.snapshot.Index {
		return nil
	}
	base := log.snapshot.Index + 1
	return log.entries[first-base : last-base+1]
}

// compact replaces the entries up to the snapshot's index.
func (log *memoryLog) compact(snapshot Snapshot) {
	var rest []Entry
	if snapshot.Index < log.lastIndex() {
		rest = append(rest, log.entries[snapshot.Index-log.snapshot.Index:]...)
	}
	log.entries = rest
	log.snapshot = snapshot
}
