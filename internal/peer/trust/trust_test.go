package trust

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestHandshake(t *testing.T) {
	for _, test := range []struct {
		name   string
		client Secret
		server Secret
		ok     bool
	}{
		{"same secret", Secret("one"), Secret("one"), true},
		{"other secret", Secret("one"), Secret("two"), false},
		{"empty secret", Secret(nil), Secret("two"), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			clientConn, serverConn := net.Pipe()
			accepted := make(chan error, 1)
			go func() {
				err := test.server.ServerHandshake(serverConn, time.Minute)
				if err != nil {
					_ = serverConn.Close()
				}
				accepted <- err
			}()
			err := test.client.ClientHandshake(clientConn, time.Minute)
			is.Equal(err == nil, test.ok)
			is.Equal(<-accepted == nil, test.ok)
		})
	}
}

// TestProofDependsOnPurposeAndPartBoundaries checks that a proof is not accepted
// for another purpose, nor for the same bytes split into other parts.
func TestProofDependsOnPurposeAndPartBoundaries(t *testing.T) {
	is := is.New(t)
	secret := Secret("one")
	proof := secret.Proof(PurposeHeartbeat, []byte("ab"), []byte("c"))
	is.True(secret.Verify(proof, PurposeHeartbeat, []byte("ab"), []byte("c")))
	is.True(!secret.Verify(proof, PurposeHeartbeat, []byte("a"), []byte("bc")))
	is.True(!secret.Verify(proof, PurposeHeartbeatBack, []byte("ab"), []byte("c")))
}
