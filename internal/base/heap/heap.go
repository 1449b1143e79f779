// Package heap bounds the memory of the process.
package heap

import (
	"runtime/debug"
	"syscall"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("heap")

// limitTenths is the part of the machine's memory, in tenths, from which on the garbage
// collector runs as often as needed. The rest is for what it does not count, such as the
// program itself and the buffers of the kernel.
const limitTenths = 8

// Limit sets the soft limit of the process's memory to a part of the machine's, and returns
// it in bytes. Without it the heap grows to twice of what is in use before it is collected.
func Limit() (int64, error) {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return 0, Error.New("read the size of the memory: %w", err)
	}
	limit := int64(info.Totalram) * int64(max(info.Unit, 1)) / 10 * limitTenths //nolint:unconvert // the type depends on the machine
	debug.SetMemoryLimit(limit)
	return limit, nil
}
