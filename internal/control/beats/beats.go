// Package beats keeps the hosts' session leases alive by small signed
// datagrams: hosts send them, the control leader answers.
package beats

import (
	"crypto/hmac"
	"time"

	"github.com/zeebo/errs"

	"damaskcrank.example/damaskcrank/internal/base/codec"
	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

// Error is the class of all errors of this package.
var Error = errs.Class("beats")

const (
	// Interval is the time between a host's heartbeats.
	Interval = 90 * time.Millisecond
	// Lease is how long a host may act after it sent a heartbeat that the
	// leader accepted.
	Lease = 400 * time.Millisecond
	// Margin is what the leader waits beyond Lease, for clocks that run at
	// different speeds.
	Margin = 40 * time.Millisecond
	// FreshWithin is the age of configuration that a host must have applied for
	// its lease to be renewed.
	FreshWithin = 2 * time.Second
	// maxDatagram bounds a heartbeat in bytes.
	maxDatagram = 512
	// proofSize is the part of a proof that a datagram carries, in bytes.
	proofSize = 16
)

// Beat is a host's heartbeat.
type Beat struct {
	_ struct{} `cbor:",toarray"`
	// Epoch is the session's epoch, which names the process: a process only
	// uses the session that its own number opened.
	Epoch uint64
	// Sequence grows with each heartbeat of a process.
	Sequence uint64
	// Applied is the index of the host's catalog.
	Applied uint64
}

// Refusal is why a heartbeat did not renew a lease.
type Refusal uint8

const (
	// RefusalNone is the refusal of an accepted heartbeat.
	RefusalNone Refusal = 0
	// RefusalNoSession means that the session is not the host's present one.
	RefusalNoSession Refusal = 1
	// RefusalBehind means that the host's configuration is too old.
	RefusalBehind Refusal = 2
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

// seal encodes a value behind its proof.
func seal(secret trust.Secret, purpose trust.Purpose, value any) ([]byte, error) {
	body, err := codec.Marshal(value)
	if err != nil {
		return nil, Error.New("seal: %w", err)
	}
	return append(secret.Proof(purpose, body)[:proofSize], body...), nil
}

// open checks the proof and decodes the value.
func open(secret trust.Secret, purpose trust.Purpose, datagram []byte, target any) error {
	if len(datagram) <= proofSize || len(datagram) > maxDatagram {
		return Error.New("datagram of %d bytes is no heartbeat", len(datagram))
	}
	body := datagram[proofSize:]
	if !hmac.Equal(datagram[:proofSize], secret.Proof(purpose, body)[:proofSize]) {
		return Error.New("datagram does not carry the cluster's proof")
	}
	if err := codec.Unmarshal(body, target); err != nil {
		return Error.New("open: %w", err)
	}
	return nil
}
