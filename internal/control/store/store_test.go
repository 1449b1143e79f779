package store

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/raft"
)

func entryAt(index, term uint64, data string) raft.Entry {
	return raft.Entry{Index: index, Term: term, Data: []byte(data)}
}

// writeLog writes three synced batches to a folder. It returns the path of the log
// and its length after each batch.
func writeLog(t *testing.T, folder string) (string, []int64) {
	t.Helper()
	is := is.New(t)
	disk, _, err := Open(folder)
	is.NoErr(err)
	path := filepath.Join(folder, logName)
	var sizes []int64
	for _, batch := range []Batch{
		{HardState: &raft.HardState{Term: 2, Vote: "a#1"}},
		{Entries: []raft.Entry{entryAt(1, 1, "one"), entryAt(2, 1, "two")}},
		{Entries: []raft.Entry{entryAt(2, 2, "two again"), entryAt(3, 2, "three")}},
	} {
		is.NoErr(disk.Save(batch))
		info, err := os.Stat(path)
		is.NoErr(err)
		sizes = append(sizes, info.Size())
	}
	is.NoErr(disk.Close())
	return path, sizes
}

func TestRestore(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	writeLog(t, folder)
	disk, restored, err := Open(folder)
	is.NoErr(err)
	is.Equal(restored.HardState, raft.HardState{Term: 2, Vote: "a#1"})
	is.Equal(len(restored.Entries), 3)
	is.Equal(string(restored.Entries[1].Data), "two again") // the later write at an index wins

	snapshot := raft.Snapshot{Index: 2, Term: 2, Data: []byte("state")}
	is.NoErr(disk.WriteSnapshot(snapshot))
	is.NoErr(disk.CompactLog(restored.HardState, restored.Entries[2:]))
	is.NoErr(disk.Save(Batch{Entries: []raft.Entry{entryAt(4, 2, "four")}}))
	is.NoErr(disk.Close())
	_, again, err := Open(folder)
	is.NoErr(err)
	is.Equal(again.Identity, restored.Identity)
	is.Equal(string(again.Snapshot.Data), "state")
	is.Equal(len(again.Entries), 2)
	is.Equal(again.Entries[1].Index, uint64(4))
}

// TestTornLastWrite truncates the log at every byte of its last write, as a crash
// during the write does. Everything synced before must be kept.
func TestTornLastWrite(t *testing.T) {
	is := is.New(t)
	path, sizes := writeLog(t, t.TempDir())
	whole, err := os.ReadFile(path)
	is.NoErr(err)
	for size := sizes[1]; size < sizes[2]; size++ {
		folder := t.TempDir()
		is.NoErr(os.WriteFile(filepath.Join(folder, logName), whole[:size], fileMode))
		disk, restored, err := Open(folder)
		is.NoErr(err)
		is.Equal(len(restored.Entries), 2)
		is.Equal(string(restored.Entries[1].Data), "two")
		is.Equal(int64(restored.TornBytes), size-sizes[1])
		is.NoErr(disk.Save(Batch{Entries: []raft.Entry{entryAt(3, 2, "new")}}))
		is.NoErr(disk.Close())
		_, again, err := Open(folder)
		is.NoErr(err)
		is.Equal(len(again.Entries), 3)
	}
}

// TestCorruptionBeforeLastWrite corrupts each byte before the last write. Open must
// fail with an error that says what to do, since acknowledged entries may be lost.
func TestCorruptionBeforeLastWrite(t *testing.T) {
	is := is.New(t)
	path, sizes := writeLog(t, t.TempDir())
	whole, err := os.ReadFile(path)
	is.NoErr(err)
	for position := range sizes[1] {
		folder := t.TempDir()
		corrupt := append([]byte(nil), whole...)
		corrupt[position] ^= 0x40
		is.NoErr(os.WriteFile(filepath.Join(folder, logName), corrupt, fileMode))
		_, _, err := Open(folder)
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), "member replace"))
	}
}

// TestCrashDuringCompaction checks the state after a crash between WriteSnapshot and
// CompactLog, which leaves the old log next to the new snapshot: the entries in the
// snapshot are skipped.
func TestCrashDuringCompaction(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	path, _ := writeLog(t, folder)
	old, err := os.ReadFile(path)
	is.NoErr(err)
	disk, restored, err := Open(folder)
	is.NoErr(err)
	is.NoErr(disk.WriteSnapshot(raft.Snapshot{Index: 2, Term: 2}))
	is.NoErr(disk.CompactLog(restored.HardState, restored.Entries[2:]))
	is.NoErr(disk.Close())
	is.NoErr(os.WriteFile(path, old, fileMode))
	_, again, err := Open(folder)
	is.NoErr(err)
	is.Equal(again.Snapshot.Index, uint64(2))
	is.Equal(len(again.Entries), 1)
	is.Equal(string(again.Entries[0].Data), "three")
}

func TestNewDiskHasNewIdentity(t *testing.T) {
	is := is.New(t)
	_, first, err := Open(t.TempDir())
	is.NoErr(err)
	_, second, err := Open(t.TempDir())
	is.NoErr(err)
	is.True(first.Identity != second.Identity)
}

func TestNoWriteAfterFailure(t *testing.T) {
	is := is.New(t)
	disk, _, err := Open(t.TempDir())
	is.NoErr(err)
	is.NoErr(disk.log.Close())
	is.True(disk.Save(Batch{}) != nil)
	is.True(disk.CompactLog(raft.HardState{}, nil) != nil) // nothing is written after a failure
}

// TestOlderSnapshotKeepsNewerOne guards against a snapshot of the member's own, written
// in the background, that replaces a newer one installed from the leader meanwhile: the
// entries between them were acknowledged and are in no log any more.
func TestOlderSnapshotKeepsNewerOne(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	disk, _, err := Open(folder)
	is.NoErr(err)
	newer := raft.Snapshot{Index: 100, Term: 2, Data: []byte("newer")}
	is.NoErr(disk.WriteSnapshot(newer))
	is.NoErr(disk.CompactLog(raft.HardState{Term: 2}, nil))
	is.NoErr(disk.Save(Batch{Entries: []raft.Entry{{Index: 101, Term: 2}}}))
	is.NoErr(disk.WriteSnapshot(raft.Snapshot{Index: 60, Term: 1, Data: []byte("older")}))
	is.NoErr(disk.Close())
	reopened, restored, err := Open(folder)
	is.NoErr(err)
	is.Equal(restored.Snapshot, newer)
	is.Equal(len(restored.Entries), 1)
	is.NoErr(reopened.WriteSnapshot(raft.Snapshot{Index: 60, Term: 1, Data: []byte("older")}))
	is.NoErr(reopened.Close())
	_, restored, err = Open(folder)
	is.NoErr(err)
	is.Equal(restored.Snapshot, newer) // also after a restart
}
