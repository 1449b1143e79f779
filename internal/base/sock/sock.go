// Package sock looks at the sockets of connections without reading from them, and sets the
// sizes of their buffers.
package sock

import (
	"errors"
	"net"
	"syscall"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("sock")

// State is what a connection has to read.
type State uint8

const (
	// Unknown means that the connection has no socket, or is closed on this side.
	Unknown State = iota
	// Quiet means that there is nothing to read yet.
	Quiet
	// Readable means that bytes wait to be read. The other side may have closed the
	// connection after them.
	Readable
	// Ended means that the other side has closed or reset the connection, and that all it
	// sent has been read.
	Ended
)

// Peek returns the state of a connection. It does not block, also not behind a read that is
// in progress.
func Peek(conn net.Conn) State {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return Unknown
	}
	state := Unknown
	err = raw.Control(func(descriptor uintptr) {
		var buffer [1]byte
		count, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		state = stateOf(count, err)
	})
	if err != nil {
		return Unknown
	}
	return state
}

func stateOf(count int, err error) State {
	switch {
	case err == nil && count > 0:
		return Readable
	case err == nil, errors.Is(err, syscall.ECONNRESET):
		return Ended
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return Quiet
	default:
		return Unknown
	}
}

// SetReceiveBuffer returns a function for net.Dialer that bounds the bytes that the other side
// may send before they are read. The kernel takes the size only before the connection is open.
func SetReceiveBuffer(size int) func(network, address string, raw syscall.RawConn) error {
	return setOption(syscall.SO_RCVBUF, size)
}

// SetSendBuffer returns a function for net.ListenConfig that bounds the bytes that writes to
// accepted connections leave to the kernel.
func SetSendBuffer(size int) func(network, address string, raw syscall.RawConn) error {
	return setOption(syscall.SO_SNDBUF, size)
}

func setOption(option, value int) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		if err := raw.Control(func(descriptor uintptr) {
			optionErr = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, option, value)
		}); err != nil {
			return Error.New("use the socket: %w", err)
		}
		if optionErr != nil {
			return Error.New("set a socket option: %w", optionErr)
		}
		return nil
	}
}
