package store

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/base/files"
	"damaskcrank.example/damaskcrank/internal/control/raft"
)

// full returns a check by which one kind of operation fails, on files whose name begins so.
func full(failing files.Operation, name string, err error) func(files.Operation, string) error {
	return func(operation files.Operation, path string) error {
		if operation == failing && strings.HasPrefix(filepath.Base(path), name) {
			return err
		}
		return nil
	}
}

// TestFullDiskAtEachWrite guards against changes that are lost, or refused for good, because
// a disk was full for a while: at each operation of each write, which is tried again until
// there is space. Nothing remains of the failed attempts.
func TestFullDiskAtEachWrite(t *testing.T) {
	snapshot := raft.Snapshot{Index: 1, Term: 1, Data: []byte("state")}
	cases := []struct {
		name  string
		file  string
		write func(disk *Disk) error
	}{
		{"batch", logName, func(disk *Disk) error { return disk.Save(Batch{Entries: []raft.Entry{entryAt(2, 1, "two")}}) }},
		{"snapshot", snapshotName, func(disk *Disk) error {
			if err := disk.WriteSnapshot(snapshot); err != nil {
				return err
			}
			return disk.Save(Batch{Entries: []raft.Entry{entryAt(2, 1, "two")}})
		}},
		{"compaction", logName, func(disk *Disk) error {
			if err := disk.WriteSnapshot(snapshot); err != nil {
				return err
			}
			if err := disk.CompactLog(raft.HardState{Term: 1}, nil); err != nil {
				return err
			}
			return disk.Save(Batch{Entries: []raft.Entry{entryAt(2, 1, "two")}})
		}},
		{"compaction, name of the log", "", func(disk *Disk) error {
			if err := disk.CompactLog(raft.HardState{Term: 1}, []raft.Entry{entryAt(1, 1, "one")}); err != nil {
				return err
			}
			return disk.Save(Batch{Entries: []raft.Entry{entryAt(2, 1, "two")}})
		}},
	}
	for _, testcase := range cases {
		for _, operation := range []files.Operation{files.Open, files.Write, files.Sync, files.Truncate, files.Rename} {
			for _, cause := range []error{syscall.ENOSPC, syscall.EDQUOT} {
				t.Run(fmt.Sprint(testcase.name, " ", operation, " ", cause), func(t *testing.T) {
					is := is.New(t)
					folder, failing := t.TempDir(), &files.Failing{}
					disk, _, err := OpenWith(failing, folder)
					is.NoErr(err)
					is.NoErr(disk.Save(Batch{HardState: &raft.HardState{Term: 1}, Entries: []raft.Entry{entryAt(1, 1, "one")}}))
					failing.Fail(full(operation, testcase.file, cause))
					for range 3 {
						if err := testcase.write(disk); err != nil {
							is.True(errors.Is(err, ErrDiskFull))
						}
					}
					failing.Fail(nil)
					is.NoErr(testcase.write(disk))
					is.NoErr(disk.Save(Batch{Entries: []raft.Entry{entryAt(3, 1, "three")}}))
					is.NoErr(disk.Close())
					again, restored, err := Open(folder)
					is.NoErr(err)
					is.Equal(int(restored.Snapshot.Index)+len(restored.Entries), 3)
					is.Equal(string(restored.Entries[len(restored.Entries)-1].Data), "three")
					is.Equal(restored.HardState.Term, uint64(1))
					is.Equal(restored.TornBytes, 0)
					is.NoErr(again.Close())
					names, err := filepath.Glob(filepath.Join(folder, "*"+temporarySuffix))
					is.NoErr(err)
					is.Equal(len(names), 0) // they would take space
				})
			}
		}
	}
}

// TestFullDisk checks that a batch of which only half fits on the disk is refused with
// ErrDiskFull, that it can be saved once there is free space, and that nothing remains
// of the failed attempts.
func TestFullDisk(t *testing.T) {
	is := is.New(t)
	folder, failing := t.TempDir(), &files.Failing{}
	disk, _, err := OpenWith(failing, folder)
	is.NoErr(err)
	is.NoErr(disk.Save(Batch{Entries: []raft.Entry{entryAt(1, 1, "one")}}))
	failing.Fail(full(files.Write, logName, syscall.ENOSPC))
	second := Batch{Entries: []raft.Entry{entryAt(2, 1, "two")}}
	for range 3 {
		is.True(errors.Is(disk.Save(second), ErrDiskFull))
	}
	is.Equal(failing.Count(), 3)
	failing.Fail(nil)
	is.NoErr(disk.Save(second))
	is.NoErr(disk.Close())
	again, restored, err := Open(folder)
	is.NoErr(err)
	is.Equal(len(restored.Entries), 2)
	is.Equal(restored.TornBytes, 0)
	is.NoErr(again.Close())
}

// TestNoSaveBeforeTheLogsNameIsDurable guards against changes that are acknowledged and lost
// with the power: the log was replaced, its name could not be synced on a full disk, and the
// log before may be back after a crash.
func TestNoSaveBeforeTheLogsNameIsDurable(t *testing.T) {
	is := is.New(t)
	folder, failing := t.TempDir(), &files.Failing{}
	disk, _, err := OpenWith(failing, folder)
	is.NoErr(err)
	is.NoErr(disk.Save(Batch{Entries: []raft.Entry{entryAt(1, 1, "one")}}))
	failing.Fail(full(files.Sync, filepath.Base(folder), syscall.ENOSPC))
	is.True(errors.Is(disk.CompactLog(raft.HardState{}, []raft.Entry{entryAt(1, 1, "one")}), ErrDiskFull))
	second := Batch{Entries: []raft.Entry{entryAt(2, 1, "two")}}
	is.True(errors.Is(disk.Save(second), ErrDiskFull))
	failing.Fail(nil)
	is.NoErr(disk.Save(second))
	is.NoErr(disk.Close())
	_, restored, err := Open(folder)
	is.NoErr(err)
	is.Equal(len(restored.Entries), 2)
}

// TestIdentityOnFullDisk guards against a new disk that gets no identity, or another one each
// time, because it was full at first.
func TestIdentityOnFullDisk(t *testing.T) {
	for _, operation := range []files.Operation{files.Open, files.Write, files.Sync, files.Rename} {
		for _, name := range []string{identityName, ""} {
			t.Run(fmt.Sprint(operation, " ", name), func(t *testing.T) {
				is := is.New(t)
				folder, failing := t.TempDir(), &files.Failing{}
				failing.Fail(full(operation, name, syscall.ENOSPC))
				_, _, err := OpenWith(failing, folder)
				is.True(errors.Is(err, syscall.ENOSPC))
				failing.Fail(nil)
				_, first, err := OpenWith(failing, folder)
				is.NoErr(err)
				is.True(first.Identity != "")
				_, second, err := OpenWith(failing, folder)
				is.NoErr(err)
				is.Equal(first.Identity, second.Identity)
			})
		}
	}
}
