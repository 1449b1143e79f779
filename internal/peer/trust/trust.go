// Package trust implements mutual challenge-response authentication between the
// fleet's processes. Both sides prove that they know the cluster secret, which is
// never sent.
package trust

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("trust")

const (
	// NonceSize is the size of a challenge in bytes.
	NonceSize = 32
	// ProofSize is the size of a proof in bytes.
	ProofSize = sha256.Size
)

// Purpose identifies the protocol and the direction of a proof. It is part of
// the digest, so a proof for one purpose is not valid for another.
type Purpose string

// The purposes of proofs.
const (
	PurposeControlClient Purpose = "controlClient"
	PurposeControlServer Purpose = "controlServer"
	PurposeLinkClient    Purpose = "linkClient"
	PurposeLinkServer    Purpose = "linkServer"
	PurposeHeartbeat     Purpose = "heartbeat"
	PurposeHeartbeatBack Purpose = "heartbeatBack"
	PurposeGrant         Purpose = "grant"
)

// Secret is the cluster secret.
type Secret []byte

// Proof returns the HMAC-SHA256 of the purpose and the parts. Each is preceded by
// its length, so that the same bytes split differently give another proof.
func (secret Secret) Proof(purpose Purpose, parts ...[]byte) []byte {
	digest := hmac.New(sha256.New, secret)
	for _, part := range append([][]byte{[]byte(purpose)}, parts...) {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = digest.Write(length[:])
		_, _ = digest.Write(part)
	}
	return digest.Sum(nil)
}

// Verify reports whether a proof is valid. It compares in constant time.
func (secret Secret) Verify(proof []byte, purpose Purpose, parts ...[]byte) bool {
	return hmac.Equal(proof, secret.Proof(purpose, parts...))
}

// NewNonce returns a random challenge.
func NewNonce() ([]byte, error) {
	nonce := make([]byte, NonceSize)
	if _, err := rand.Read(nonce); err != nil {
		return nil, Error.New("generate nonce: %w", err)
	}
	return nonce, nil
}

// ServerHandshake runs the accepting side of the handshake. It sends a challenge,
// checks the peer's proof, and only then sends its own.
func (secret Secret) ServerHandshake(conn net.Conn, timeout time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return Error.New("set deadline: %w", err)
	}
	localNonce, err := NewNonce()
	if err != nil {
		return err
	}
	if _, err := conn.Write(localNonce); err != nil {
		return Error.New("send challenge: %w", err)
	}
	answer := make([]byte, NonceSize+ProofSize)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return Error.New("read proof: %w", err)
	}
	peerNonce := answer[:NonceSize]
	if !secret.Verify(answer[NonceSize:], PurposeControlClient, localNonce, peerNonce) {
		return Error.New("peer %s does not know the cluster secret", conn.RemoteAddr())
	}
	if _, err := conn.Write(secret.Proof(PurposeControlServer, peerNonce, localNonce)); err != nil {
		return Error.New("send proof: %w", err)
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return Error.New("clear deadline: %w", err)
	}
	return nil
}

// ClientHandshake runs the dialling side of the handshake. It answers the
// accepting side's challenge with a proof and a challenge of its own, and checks
// the proof that comes back.
func (secret Secret) ClientHandshake(conn net.Conn, timeout time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return Error.New("set deadline: %w", err)
	}
	peerNonce := make([]byte, NonceSize)
	if _, err := io.ReadFull(conn, peerNonce); err != nil {
		return Error.New("read challenge: %w", err)
	}
	localNonce, err := NewNonce()
	if err != nil {
		return err
	}
	if _, err := conn.Write(append(localNonce, secret.Proof(PurposeControlClient, peerNonce, localNonce)...)); err != nil {
		return Error.New("send proof: %w", err)
	}
	proof := make([]byte, ProofSize)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return Error.New("read proof: %w", err)
	}
	if !secret.Verify(proof, PurposeControlServer, localNonce, peerNonce) {
		return Error.New("peer %s does not know the cluster secret", conn.RemoteAddr())
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return Error.New("clear deadline: %w", err)
	}
	return nil
}
