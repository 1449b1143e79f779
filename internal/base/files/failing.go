package files

import (
	"io/fs"
	"sync"
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
)

// Failing are files of the operating system whose operations fail on demand. A write that
// fails has written its first half, and a sync that fails has synced nothing that counts.
// The zero value fails none. It is safe for concurrent use.
type Failing struct {
	mutex sync.Mutex
	check func(operation Operation, path string) error
	count int
}

// Fail makes operations fail with the error that check returns for them, unless it is nil.
// The path of a rename is the old one. No operation fails without a check.
func (failing *Failing) Fail(check func(operation Operation, path string) error) {
	failing.mutex.Lock()
	defer failing.mutex.Unlock()
	failing.check = check
}

// Count returns how many operations have failed.
func (failing *Failing) Count() int {
	failing.mutex.Lock()
	defer failing.mutex.Unlock()
	return failing.count
}

func (failing *Failing) fails(operation Operation, path string) error {
	failing.mutex.Lock()
	defer failing.mutex.Unlock()
	if failing.check == nil {
		return nil
	}
	err := failing.check(operation, path)
	if err != nil {
		failing.count++
	}
	return err
}

// OpenFile implements Files.
func (failing *Failing) OpenFile(path string, flag int, mode fs.FileMode) (File, error) {
	if err := failing.fails(Open, path); err != nil {
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
	if err := failing.fails(Rename, from); err != nil {
		return err
	}
	return OS{}.Rename(from, to)
}

// Remove implements Files.
func (*Failing) Remove(path string) error { return OS{}.Remove(path) }

// failingFile is an open file of Failing.
type failingFile struct {
	File

	files *Failing
	path  string
}

// Write implements File.
func (failingfile *failingFile) Write(data []byte) (int, error) {
	if err := failingfile.files.fails(Write, failingfile.path); err != nil {
		written, _ := failingfile.File.Write(data[:len(data)/2])
		return written, err
	}
	return failingfile.File.Write(data) //nolint:wrapcheck // as the file reports it
}

// Truncate implements File.
func (failingfile *failingFile) Truncate(size int64) error {
	if err := failingfile.files.fails(Truncate, failingfile.path); err != nil {
		return err
	}
	return failingfile.File.Truncate(size) //nolint:wrapcheck // as the file reports it
}

// Sync implements File.
func (failingfile *failingFile) Sync() error {
	if err := failingfile.files.fails(Sync, failingfile.path); err != nil {
		return err
	}
	return failingfile.File.Sync() //nolint:wrapcheck // as the file reports it
}
