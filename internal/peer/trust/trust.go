// Package trust lets the fleet's processes prove to each other that they know
// the cluster secret, without ever sending it.
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
	// NonceSize is the size in bytes of a challenge.
	NonceSize = 32
	// ProofSize is the size in bytes of a proof.
	ProofSize = sha256.Size
)

// Purpose separates proofs of different protocols and directions.
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

// Proof returns a keyed digest of the parts.
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

// Check compares a proof in constant time.
func (secret Secret) Check(proof []byte, purpose Purpose, parts ...[]byte) bool {
	return hmac.Equal(proof, secret.Proof(purpose, parts...))
}

// NewNonce draws a challenge.
func NewNonce() ([]byte, error) {
	nonce := make([]byte, NonceSize)
	if _, err := rand.Read(nonce); err != nil {
		return nil, Error.New("draw nonce: %w", err)
	}
	return nonce, nil
}

// Accept makes the dialling side prove the secret, then proves it in turn.
func (secret Secret) Accept(conn net.Conn, timeout time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return Error.New("set deadline: %w", err)
	}
	ours, err := NewNonce()
	if err != nil {
		return err
	}
	if _, err := conn.Write(ours); err != nil {
		return Error.New("send challenge: %w", err)
	}
	answer := make([]byte, NonceSize+ProofSize)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return Error.New("read proof: %w", err)
	}
	theirs := answer[:NonceSize]
	if !secret.Check(answer[NonceSize:], PurposeControlClient, ours, theirs) {
		return Error.New("peer %s does not know the cluster secret", conn.RemoteAddr())
	}
	if _, err := conn.Write(secret.Proof(PurposeControlServer, theirs, ours)); err != nil {
		return Error.New("send proof: %w", err)
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return Error.New("clear deadline: %w", err)
	}
	return nil
}

// Join proves the secret to the accepting side and checks its proof.
func (secret Secret) Join(conn net.Conn, timeout time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return Error.New("set deadline: %w", err)
	}
	theirs := make([]byte, NonceSize)
	if _, err := io.ReadFull(conn, theirs); err != nil {
		return Error.New("read challenge: %w", err)
	}
	ours, err := NewNonce()
	if err != nil {
		return err
	}
	if _, err := conn.Write(append(ours, secret.Proof(PurposeControlClient, theirs, ours)...)); err != nil {
		return Error.New("send proof: %w", err)
	}
	proof := make([]byte, ProofSize)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return Error.New("read proof: %w", err)
	}
	if !secret.Check(proof, PurposeControlServer, ours, theirs) {
		return Error.New("peer %s does not know the cluster secret", conn.RemoteAddr())
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return Error.New("clear deadline: %w", err)
	}
	return nil
}
