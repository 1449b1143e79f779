// Package files holds the operations by which stored files are changed, of the operating
// system and of a stand-in that fails.
package files

import (
	"io"
	"io/fs"
	"os"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("files")

// Files are the operations that change files.
type Files interface {
	// OpenFile is like os.OpenFile. It also opens folders.
	OpenFile(path string, flag int, mode fs.FileMode) (File, error)
	// Rename is like os.Rename.
	Rename(from, to string) error
	// Remove is like os.Remove.
	Remove(path string) error
}

// File is an open file or folder.
type File interface {
	io.WriteSeeker
	io.Closer
	// Truncate changes the length in bytes.
	Truncate(size int64) error
	// Sync makes the content durable or, of a folder, the names in it.
	Sync() error
}

// OS are the files of the operating system.
type OS struct{}

// OpenFile implements Files.
func (OS) OpenFile(path string, flag int, mode fs.FileMode) (File, error) {
	file, err := os.OpenFile(path, flag, mode)
	if err != nil {
		return nil, Error.New("%w", err)
	}
	return file, nil
}

// Rename implements Files.
func (OS) Rename(from, to string) error {
	if err := os.Rename(from, to); err != nil {
		return Error.New("%w", err)
	}
	return nil
}

// Remove implements Files.
func (OS) Remove(path string) error {
	if err := os.Remove(path); err != nil {
		return Error.New("%w", err)
	}
	return nil
}
