// Package store persists a control host's copy of the replicated log: a log file of
// checksummed frames, the latest snapshot, and an identity for the disk.
package store

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"

	"github.com/zeebo/errs"

	"damaskcrank.example/damaskcrank/internal/base/codec"
	"damaskcrank.example/damaskcrank/internal/base/files"
	"damaskcrank.example/damaskcrank/internal/control/raft"
)

// Error is the class of all errors of this package.
var Error = errs.Class("store")

const (
	logName         = "log"
	snapshotName    = "snapshot"
	identityName    = "identity"
	temporarySuffix = ".tmp"
	folderMode      = 0o700
	fileMode        = 0o600
	// identityBytes is the length of a disk's random identity.
	identityBytes = 6
	// readBufferBytes is the size of the buffer for reading the log.
	readBufferBytes = 64 << 10
)

// Batch is a hard state and entries that are made durable with one sync.
type Batch struct {
	HardState *raft.HardState
	Entries   []raft.Entry
}

// Restored is the state that Open read from a disk.
type Restored struct {
	// Identity identifies the disk. A new folder gets a new one.
	Identity  string
	HardState raft.HardState
	// Snapshot has index 0 if the member does not belong to a group yet.
	Snapshot raft.Snapshot
	Entries  []raft.Entry
	// TornBytes is the size in bytes of an incomplete last write that was truncated.
	TornBytes int
}

// Disk is an open data folder. Except for WriteSnapshot it is not safe for concurrent
// use.
type Disk struct {
	files  files.Files
	folder string
	log    files.File
	// size is the length in bytes of the synced part of the log.
	size int64
	// partial is set if the log may hold more than that, which a full disk kept from being
	// synced.
	partial bool
	// unsyncedName is set if the folder may not durably name the present log.
	unsyncedName bool
	// failed is the error after which the disk refuses all further writes.
	failed error

	snapshotMutex sync.Mutex
	// snapshotIndex is the index of the snapshot on disk.
	snapshotIndex uint64
}

// ErrDiskFull means that the disk is full. What was to be written may not be durable, and
// writing it may be retried.
var ErrDiskFull = Error.New("the disk is full")

// Open reads the data folder, which it creates if needed, and truncates an incomplete
// last write. Corruption before the last write may have lost acknowledged entries, so
// it is an error, which tells the operator what to do.
func Open(folder string) (*Disk, Restored, error) { return OpenWith(files.OS{}, folder) }

// OpenWith is like Open, but changes files by the given operations.
func OpenWith(written files.Files, folder string) (*Disk, Restored, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, Restored{}, Error.New("create data folder: %w", err)
	}
	disk := &Disk{files: written, folder: folder}
	restored, err := disk.restore()
	if err != nil {
		return nil, Restored{}, err
	}
	return disk, restored, nil
}

func (disk *Disk) path(name string) string {
	return filepath.Join(disk.folder, name)
}

func (disk *Disk) restore() (Restored, error) {
	identity, err := disk.identity()
	if err != nil {
		return Restored{}, err
	}
	restored := Restored{Identity: identity}
	if err := disk.readSnapshot(&restored.Snapshot); err != nil {
		return Restored{}, err
	}
	disk.snapshotIndex = restored.Snapshot.Index
	valid, err := disk.replayLog(&restored)
	if err != nil {
		return Restored{}, err
	}
	return restored, disk.openLog(valid)
}

// replayLog applies the log's frames, one at a time, and returns the length in bytes of the
// valid part.
func (disk *Disk) replayLog(restored *Restored) (int64, error) {
	file, err := os.Open(disk.path(logName))
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, Error.New("open log: %w", err)
	}
	defer func() { _ = file.Close() }()
	info, err := file.Stat()
	if err != nil {
		return 0, Error.New("read the size of the log: %w", err)
	}
	valid, err := replay(file, info.Size(), restored)
	if err != nil {
		return 0, Error.New("replay log %s: %w", disk.path(logName), err)
	}
	restored.TornBytes = int(info.Size() - valid)
	return valid, nil
}

// identity reads the disk's identity, or generates one for a new disk.
func (disk *Disk) identity() (string, error) {
	data, err := os.ReadFile(disk.path(identityName))
	if err == nil {
		return strings.TrimSpace(string(data)), nil
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return "", Error.New("read identity: %w", err)
	}
	random := make([]byte, identityBytes)
	if _, err := rand.Read(random); err != nil {
		return "", Error.New("generate identity: %w", err)
	}
	identity := hex.EncodeToString(random)
	file, err := disk.replaceFile(identityName, []byte(identity+"\n"))
	if err != nil {
		return "", err
	}
	_ = file.Close()
	if err := disk.syncFolder(); err != nil {
		return "", err
	}
	return identity, nil
}

func (disk *Disk) readSnapshot(snapshot *raft.Snapshot) error {
	data, err := os.ReadFile(disk.path(snapshotName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return Error.New("read snapshot: %w", err)
	}
	payload, _, err := codec.NextFrame(data)
	if err != nil {
		return Error.New("snapshot %s is corrupt (%w): %s", disk.path(snapshotName), err, replaceAdvice)
	}
	if err := codec.Unmarshal(payload, snapshot); err != nil {
		return Error.New("decode snapshot %s: %w", disk.path(snapshotName), err)
	}
	return nil
}

// replaceAdvice tells the operator what to do about a disk that may have lost entries.
const replaceAdvice = "move the data folder away and run 'damaskcrank member replace' for this host on another one"

// replay applies the frames of a log of the given size and returns the length in bytes of
// the valid part.
func replay(file io.ReaderAt, size int64, restored *Restored) (int64, error) {
	valid := int64(0)
	reader := bufio.NewReaderSize(io.NewSectionReader(file, 0, size), readBufferBytes)
	for valid < size {
		payload, length, err := codec.ReadFrame(reader, size-valid)
		var invalid *codec.FrameError
		if errors.As(err, &invalid) {
			return valid, checkTorn(file, valid, size, err)
		}
		if err != nil {
			return 0, Error.New("read frame at byte %d: %w", valid, err)
		}
		var batch Batch
		if err := codec.Unmarshal(payload, &batch); err != nil {
			return 0, Error.New("decode frame at byte %d: %w", valid, err)
		}
		if err := restored.apply(batch); err != nil {
			return 0, Error.New("apply frame at byte %d: %w", valid, err)
		}
		valid += int64(length)
	}
	return valid, nil
}

// checkTorn returns an error unless the invalid frame at a byte of the log is its last write.
func checkTorn(file io.ReaderAt, at, size int64, cause error) error {
	rest := make([]byte, size-at-1)
	if _, err := file.ReadAt(rest, at+1); err != nil && !errors.Is(err, io.EOF) {
		return Error.New("read the log after byte %d: %w", at, err)
	}
	if codec.ContainsFrame(rest) {
		return Error.New("corrupt at byte %d, before its last write (%w): %s", at, cause, replaceAdvice)
	}
	return nil
}

// apply applies one batch of the log. It skips entries that the snapshot contains. An
// entry at an index that is already present replaces that entry and all after it.
func (restored *Restored) apply(batch Batch) error {
	if batch.HardState != nil {
		restored.HardState = *batch.HardState
	}
	for _, entry := range batch.Entries {
		if entry.Index <= restored.Snapshot.Index {
			continue
		}
		keep := entry.Index - restored.Snapshot.Index - 1
		if keep > uint64(len(restored.Entries)) {
			return Error.New("entry %d leaves a gap after %d", entry.Index, restored.Snapshot.Index+uint64(len(restored.Entries)))
		}
		restored.Entries = append(restored.Entries[:keep:keep], entry)
	}
	return nil
}

// openLog opens the log, truncates it to the given size and continues from there.
func (disk *Disk) openLog(size int64) error {
	file, err := disk.files.OpenFile(disk.path(logName), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return Error.New("open log: %w", err)
	}
	disk.log, disk.size = file, size
	if err := disk.removePartial(); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return Error.New("sync log: %w", err)
	}
	return disk.syncFolder()
}

// Save appends the batch to the log and syncs it. After an error other than ErrDiskFull
// the disk refuses all further writes, because it is unknown what a failed sync has
// written. After ErrDiskFull the bytes are written anew, and so synced anew.
func (disk *Disk) Save(batch Batch) error {
	if disk.failed != nil {
		return disk.failed
	}
	payload, err := codec.Marshal(batch)
	if err != nil {
		return Error.New("encode batch: %w", err)
	}
	frame := codec.Frame(payload)
	if err := disk.prepare(); err != nil {
		return disk.markFailed(err)
	}
	disk.partial = true
	if err := disk.append(frame); err != nil {
		if isFull(err) && disk.removePartial() == nil {
			disk.partial = false
		}
		return disk.markFailed(err)
	}
	disk.partial = false
	disk.size += int64(len(frame))
	return nil
}

// prepare finishes what an earlier write left undone because the disk was full.
func (disk *Disk) prepare() error {
	if disk.partial {
		if err := disk.removePartial(); err != nil {
			return err
		}
		disk.partial = false
	}
	if disk.unsyncedName {
		return disk.syncName()
	}
	return nil
}

func (disk *Disk) append(frame []byte) error {
	if _, err := disk.log.Write(frame); err != nil {
		return Error.New("write log: %w", err)
	}
	if err := disk.log.Sync(); err != nil {
		return Error.New("sync log: %w", err)
	}
	return nil
}

// removePartial removes what follows the synced part of the log.
func (disk *Disk) removePartial() error {
	if err := disk.log.Truncate(disk.size); err != nil {
		return Error.New("truncate log to %d bytes: %w", disk.size, err)
	}
	if _, err := disk.log.Seek(disk.size, io.SeekStart); err != nil {
		return Error.New("seek log: %w", err)
	}
	return nil
}

// markFailed returns the error of a write, as ErrDiskFull if that is the cause. After any
// other one the disk refuses all further writes.
func (disk *Disk) markFailed(err error) error {
	if isFull(err) {
		return fullError(err)
	}
	disk.failed = err
	return err
}

// isFull reports whether a write failed because the disk or its quota is full.
func isFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

func fullError(err error) error { return Error.New("%w: %w", ErrDiskFull, err) }

// WriteSnapshot makes a snapshot durable, unless the disk already has a later one.
// Unlike the other methods it may run concurrently with itself and with Save.
func (disk *Disk) WriteSnapshot(snapshot raft.Snapshot) error {
	payload, err := codec.Marshal(snapshot)
	if err != nil {
		return Error.New("encode snapshot: %w", err)
	}
	disk.snapshotMutex.Lock()
	defer disk.snapshotMutex.Unlock()
	if snapshot.Index < disk.snapshotIndex {
		return nil
	}
	file, err := disk.replaceFile(snapshotName, codec.Frame(payload))
	if err == nil {
		_ = file.Close()
		err = disk.syncFolder()
	}
	if err != nil {
		if isFull(err) {
			return fullError(err)
		}
		return err
	}
	disk.snapshotIndex = snapshot.Index
	return nil
}

// CompactLog replaces the log with one that holds only the given hard state and entries,
// which follow the last snapshot written. A crash between WriteSnapshot and CompactLog
// leaves entries in the log that the snapshot contains; Open skips them. After ErrDiskFull
// the disk goes on with the log before or with the new one, which hold the same.
func (disk *Disk) CompactLog(hardState raft.HardState, entries []raft.Entry) error {
	if disk.failed != nil {
		return disk.failed
	}
	payload, err := codec.Marshal(Batch{HardState: &hardState, Entries: entries})
	if err != nil {
		return Error.New("encode compacted log: %w", err)
	}
	frame := codec.Frame(payload)
	file, err := disk.replaceFile(logName, frame)
	if err != nil {
		return disk.markFailed(err)
	}
	_ = disk.log.Close()
	disk.log, disk.size, disk.partial = file, int64(len(frame)), false
	disk.unsyncedName = true
	if err := disk.syncName(); err != nil {
		return disk.markFailed(err)
	}
	return nil
}

// syncName makes the name of the present log durable. Until then nothing that is saved in
// it counts: after a crash the log before may be back.
func (disk *Disk) syncName() error {
	if err := disk.syncFolder(); err != nil {
		return err
	}
	disk.unsyncedName = false
	return nil
}

// replaceFile replaces a file with a synced one and returns it, open at its end. After a
// crash there is either the old or the new one, which of them is certain only once the
// folder is synced.
func (disk *Disk) replaceFile(name string, data []byte) (files.File, error) {
	temporary := disk.path(name + temporarySuffix)
	file, err := disk.files.OpenFile(temporary, os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return nil, Error.New("create %s: %w", name, err)
	}
	if err := disk.fill(file, name, data); err != nil {
		_ = file.Close()
		_ = disk.files.Remove(temporary) // it takes space; the next attempt truncates it otherwise
		return nil, err
	}
	return file, nil
}

// fill writes and syncs a temporary file, and gives it its name.
func (disk *Disk) fill(file files.File, name string, data []byte) error {
	if _, err := file.Write(data); err != nil {
		return Error.New("write %s: %w", name, err)
	}
	if err := file.Sync(); err != nil {
		return Error.New("sync %s: %w", name, err)
	}
	if err := disk.files.Rename(disk.path(name+temporarySuffix), disk.path(name)); err != nil {
		return Error.New("rename %s: %w", name, err)
	}
	return nil
}

func (disk *Disk) syncFolder() error {
	folder, err := disk.files.OpenFile(disk.folder, os.O_RDONLY, 0)
	if err != nil {
		return Error.New("open data folder: %w", err)
	}
	defer func() { _ = folder.Close() }()
	if err := folder.Sync(); err != nil {
		return Error.New("sync data folder: %w", err)
	}
	return nil
}

// Close closes the log. Nothing needs to be flushed, since Save syncs before it
// returns.
func (disk *Disk) Close() error {
	if disk.log == nil {
		return nil
	}
	if err := disk.log.Close(); err != nil {
		return Error.New("close log: %w", err)
	}
	return nil
}
