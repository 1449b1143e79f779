// Package lease renews the leases of the hosts' sessions with small authenticated
// datagrams: hosts send heartbeats, and the control leader acknowledges them.
package lease

import (
	"crypto/hmac"
	"time"

	"github.com/zeebo/errs"

	"damaskcrank.example/damaskcrank/internal/base/codec"
	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

// Error is the class of all errors of this package.
var Error = errs.Class("lease")

const (
	// HeartbeatInterval is the time between a host's heartbeats.
	HeartbeatInterval = 90 * time.Millisecond
	// Duration is how long a host may act after it sent a heartbeat that the
	// leader accepted.
	Duration = 400 * time.Millisecond
	// ClockMargin is how long the leader waits beyond Duration before it treats a
	// session as expired. It allows for clocks that run at different speeds.
	ClockMargin = 40 * time.Millisecond
	// MaxConfigAge bounds the age of a host's configuration: a lease is renewed only
	// if the host has applied everything that the leader has known for this long.
	MaxConfigAge = 2 * time.Second
	// maxDatagram is the maximum size of a datagram in bytes.
	maxDatagram = 512
	// macSize is the size in bytes of the truncated MAC that starts a datagram.
	macSize = 16
)

// Heartbeat is the message with which a host renews its session's lease.
type Heartbeat struct {
	_ struct{} `cbor:",toarray"`
	// Epoch is the session's epoch. It identifies the process, since a process only
	// uses a session that was opened with its own boot number.
	Epoch uint64
	// Sequence increases with each heartbeat of a process.
	Sequence uint64
	// Applied is the index of the host's catalog.
	Applied uint64
}

// Refusal is the reason why a heartbeat did not renew a lease.
type Refusal uint8

const (
	// RefusalNone means that the lease was renewed.
	RefusalNone Refusal = 0
	// RefusalNoSession means that the session is not the host's current one.
	RefusalNoSession Refusal = 1
	// RefusalStale means that the host's configuration is too old.
	RefusalStale Refusal = 2
)

// Ack is the leader's answer to a heartbeat.
type Ack struct {
	_        struct{} `cbor:",toarray"`
	Epoch    uint64
	Sequence uint64
	// Index is the leader's catalog index.
	Index   uint64
	Refusal Refusal
}

// sign encodes a value and puts its truncated MAC in front.
func sign(secret trust.Secret, purpose trust.Purpose, value any) ([]byte, error) {
	body, err := codec.Marshal(value)
	if err != nil {
		return nil, Error.New("encode datagram: %w", err)
	}
	return append(secret.Proof(purpose, body)[:macSize], body...), nil
}

// verify checks a datagram's MAC and decodes its value into target.
func verify(secret trust.Secret, purpose trust.Purpose, datagram []byte, target any) error {
	if len(datagram) <= macSize || len(datagram) > maxDatagram {
		return Error.New("a datagram of %d bytes is too short or too long", len(datagram))
	}
	body := datagram[macSize:]
	if !hmac.Equal(datagram[:macSize], secret.Proof(purpose, body)[:macSize]) {
		return Error.New("the datagram's MAC does not match the cluster secret")
	}
	if err := codec.Unmarshal(body, target); err != nil {
		return Error.New("decode datagram: %w", err)
	}
	return nil
}
