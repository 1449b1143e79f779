package files

import (
	"io/fs"
	"sync"
	"sync/atomic"
)

// Operation is a kind of change of a file.
type Operation string

// The operations that may fail.
const (
	Open     Operation = "open"
	Write    Operation = "write"
	Sync     Operation = "sync"
	Truncate Operation = "truncate"
	Rename   Operation = "rename"
	Remove   Operation = "remove"
)

// Failing are files of the operating system whose operations fail on demand. A write that
// fails has written its first half, and a sync that fails has synced nothing that counts.
// The zero value fails none. It is safe for concurrent use.
type Failing struct {
	// running is held for reading by the operations in progress.
	running sync.RWMutex
	check   func(operation Operation, path string) error
	count   atomic.Int64
}

// Fail makes operations fail with the error that check returns for them, unless it is nil.
// The path of a rename is the old one. No operation fails without a check. Fail returns once
// no operation that began before is in progress.
func (failing *Failing) Fail(check func(operation Operation, path string) error) {
	failing.running.Lock()
	defer failing.running.Unlock()
	failing.check = check
}

// Count returns how many operations have failed.
func (failing *Failing) Count() int { return int(failing.count.Load()) }

// begin begins an operation, which ends with the call of the returned function.
func (failing *Failing) begin(operation Operation, path string) (end func(), err error) {
	failing.running.RLock()
	if failing.check != nil {
		err = failing.check(operation, path)
	}
	if err != nil {
		failing.count.Add(1)
	}
	return failing.running.RUnlock, err
}

// OpenFile implements Files.
func (failing *Failing) OpenFile(path string, flag int, mode fs.FileMode) (File, error) {
	end, err := failing.begin(Open, path)
	defer end()
	if err != nil {
		return nil, err
	}
	file, err := OS{}.OpenFile(path, flag, mode)
	if err != nil {
		return nil, err
	}
	return &failingFile{File: file, files: failing, path: path}, nil
}

// Rename implements Files.
func (failing *Failing) Rename(from, to string) error {
	end, err := failing.begin(Rename, from)
	defer end()
	if err != nil {
		return err
	}
	return OS{}.Rename(from, to)
}

// Remove implements Files.
func (failing *Failing) Remove(path string) error {
	end, err := failing.begin(Remove, path)
	defer end()
	if err != nil {
		return err
	}
	return OS{}.Remove(path)
}

// failingFile is an open file of Failing.
type failingFile struct {
	File

	files *Failing
	path  string
}

// Write implements File.
func (failingfile *failingFile) Write(data []byte) (int, error) {
	end, err := failingfile.files.begin(Write, failingfile.path)
	defer end()
	if err != nil {
		written, _ := failingfile.File.Write(data[:len(data)/2])
		return written, err
	}
	return failingfile.File.Write(data) //nolint:wrapcheck // as the file reports it
}

// Truncate implements File.
func (failingfile *failingFile) Truncate(size int64) error {
	end, err := failingfile.files.begin(Truncate, failingfile.path)
	defer end()
	if err != nil {
		return err
	}
	return failingfile.File.Truncate(size) //nolint:wrapcheck // as the file reports it
}

// Sync implements File.
func (failingfile *failingFile) Sync() error {
	end, err := failingfile.files.begin(Sync, failingfile.path)
	defer end()
	if err != nil {
		return err
	}
	return failingfile.File.Sync() //nolint:wrapcheck // as the file reports it
}
