// Package heap bounds the memory of the process.
package heap

import (
	"runtime/debug"
	"syscall"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("heap")

const (
	// limitTenths is the part of the memory, in tenths, from which on the garbage collector runs
	// as often as needed. The rest is for what it does not count, such as the program itself and
	// the buffers of the kernel.
	limitTenths = 8
	// otherBytes is the least that is left for them. The program's pages alone take 8 MiB.
	otherBytes = 16 << 20
	// fallbackBytes is the size of the memory if it can't be found out.
	fallbackBytes = 128 << 20
	mebibyte      = 1 << 20
)

// Size returns the memory that the process may use, in bytes: that of the settings, in MiB, but
// no more than the machine has. 0 means that of the machine.
func Size(configured int64) (int64, error) {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		size := int64(fallbackBytes)
		if configured > 0 {
			size = configured * mebibyte
		}
		return size, Error.New("read the size of the memory: %w", err)
	}
	size := int64(info.Totalram) * int64(max(info.Unit, 1)) //nolint:unconvert // the type depends on the machine
	if configured > 0 {
		size = min(size, configured*mebibyte)
	}
	return size, nil
}

// Limit sets the soft limit of the process's memory to a part of the size, and returns it in
// bytes. Without it the heap grows to twice of what is in use before it is collected.
func Limit(size int64) int64 {
	limit := max(size/2, min(size/10*limitTenths, size-otherBytes))
	debug.SetMemoryLimit(limit)
	return limit
}
