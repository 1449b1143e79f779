package sock

import (
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
)

// connect returns both ends of a connection on loopback.
func connect(t *testing.T) (*net.TCPConn, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	near, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near.(*net.TCPConn), far.(*net.TCPConn)
}

// await waits until the connection has the state.
func await(t *testing.T, conn net.Conn, want State) {
	t.Helper()
	deadline := time.Now().Add(time.Minute)
	for Peek(conn) != want {
		if time.Now().After(deadline) {
			t.Fatalf("the state is %d, not %d", Peek(conn), want)
		}
		runtime.Gosched()
	}
}

// TestPeek guards against a connection whose end, or whose bytes, are not seen, also while
// another task waits for bytes of it.
func TestPeek(t *testing.T) {
	is := is.New(t)
	near, far := connect(t)
	is.Equal(Peek(near), Quiet)
	_, err := far.Write([]byte("x"))
	is.NoErr(err)
	await(t, near, Readable)
	await(t, near, Readable) // nothing was read
	_, err = near.Read(make([]byte, 1))
	is.NoErr(err)
	is.Equal(Peek(near), Quiet)
	read := make(chan error, 1)
	go func() {
		_, err := near.Read(make([]byte, 1))
		read <- err
	}()
	is.Equal(Peek(near), Quiet)
	is.NoErr(far.Close())
	is.True(<-read != nil)
	await(t, near, Ended)
	is.NoErr(near.Close())
	is.Equal(Peek(near), Unknown)

	near, far = connect(t)
	is.NoErr(far.SetLinger(0))
	is.NoErr(far.Close())
	await(t, near, Ended) // reset
	pipe, _ := net.Pipe()
	is.Equal(Peek(pipe), Unknown)
}
