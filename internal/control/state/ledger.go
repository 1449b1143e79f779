package state

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// LedgerParts is the number of parts into which the ledger is divided.
	LedgerParts = 64
	// maxPartEntries is the number of requests that one part can hold.
	maxPartEntries = 4096
	// LedgerRetention is how long a request is kept.
	LedgerRetention = 24 * time.Hour
	// MaxStoredBodyBytes is the size in bytes of the largest answer body that is stored.
	MaxStoredBodyBytes = 64 << 10
	// maxPartBodyBytes bounds the total size in bytes of the bodies that one part
	// stores. The oldest bodies are evicted first; their status is kept.
	maxPartBodyBytes = 256 << 10
)

// LedgerKey identifies a request that must run at most once.
type LedgerKey struct {
	Workspace string
	Service   string
	// Key is the caller's Idempotency-Key.
	Key string
}

// Part returns the number of the ledger part that holds the key.
func (ledgerkey LedgerKey) Part() int {
	text := ledgerkey.Workspace + "\x00" + ledgerkey.Service + "\x00" + ledgerkey.Key
	return int(xxhash.Sum64String(text) % LedgerParts)
}

// HeaderField is one header field of an answer.
type HeaderField struct {
	Name  string
	Value string
}

// Answer is an upstream's answer as the ledger stores it.
type Answer struct {
	Status int
	Header []HeaderField
	Body   []byte
	// Unknown is set if it can't be determined whether the request ran.
	Unknown bool
	// Omitted is set if the body is not stored, for example because it was too
	// large or has been evicted.
	Omitted bool
}

// ledgerEntry is the ledger's record of one request.
type ledgerEntry struct {
	Fingerprint string
	Attempt     string
	Shard       ShardID
	ShardEpoch  uint64
	At          time.Time
	Finished    bool
	Answer      Answer
}

// ledgerPart is one of the ledger's parts, with its keys in order of insertion.
type ledgerPart struct {
	Entries map[LedgerKey]ledgerEntry
	Order   []LedgerKey
	// StoredBytes is the total size in bytes of all stored bodies.
	StoredBytes int
}

// Ledger records the requests that must run at most once. The zero Ledger is
// empty. It is not safe for concurrent use.
type Ledger struct {
	Parts [LedgerParts]ledgerPart
}

// Len returns the number of requests in the ledger.
func (ledger *Ledger) Len() int {
	count := 0
	for _, part := range ledger.Parts {
		count += len(part.Entries)
	}
	return count
}

// Apply applies a command. The catalog determines which primaries are current.
func (ledger *Ledger) Apply(index uint64, command Command, catalog *Catalog) Result {
	result := Result{Index: index, Outcome: OutcomeDone}
	switch command := command.(type) {
	case BeginRequest:
		result = ledger.begin(command, catalog)
	case FinishRequest:
		result.Outcome = ledger.finish(command)
	case DropRequest:
		result.Outcome = ledger.drop(command)
	}
	result.Index = index
	return result
}

func (ledger *Ledger) begin(command BeginRequest, catalog *Catalog) Result {
	if catalog.Shards[command.Shard].Epoch != command.ShardEpoch {
		return Result{Outcome: OutcomeStale}
	}
	part := &ledger.Parts[command.Key.Part()]
	part.expire(command.At)
	entry, exists := part.Entries[command.Key]
	if exists {
		return entry.duplicateResult(command, catalog)
	}
	if len(part.Entries) >= maxPartEntries {
		return Result{Outcome: OutcomeFull}
	}
	if part.Entries == nil {
		part.Entries = map[LedgerKey]ledgerEntry{}
	}
	part.Entries[command.Key] = ledgerEntry{
		Fingerprint: command.Fingerprint,
		Attempt:     command.Attempt,
		Shard:       command.Shard,
		ShardEpoch:  command.ShardEpoch,
		At:          command.At,
	}
	part.Order = append(part.Order, command.Key)
	return Result{Outcome: OutcomeDone}
}

// duplicateResult returns the result of a command whose key already has an entry.
// If the entry's primary has lost its shard, the earlier attempt can no longer be
// finished, so its outcome is unknown.
func (ledgerentry ledgerEntry) duplicateResult(command BeginRequest, catalog *Catalog) Result {
	switch {
	case ledgerentry.Fingerprint != command.Fingerprint:
		return Result{Outcome: OutcomeMismatch}
	case ledgerentry.Attempt == command.Attempt && !ledgerentry.Finished:
		return Result{Outcome: OutcomeDone}
	case ledgerentry.Finished && ledgerentry.Answer.Unknown:
		return Result{Outcome: OutcomeUnknown}
	case ledgerentry.Finished:
		return Result{Outcome: OutcomeFinished, Answer: ledgerentry.Answer}
	case catalog.Shards[ledgerentry.Shard].Epoch != ledgerentry.ShardEpoch:
		return Result{Outcome: OutcomeUnknown}
	default:
		return Result{Outcome: OutcomeInProgress}
	}
}

func (ledger *Ledger) finish(command FinishRequest) Outcome {
	part := &ledger.Parts[command.Key.Part()]
	entry, ok := part.Entries[command.Key]
	if !ok || entry.Attempt != command.Attempt {
		return OutcomeStale
	}
	if entry.Finished && !entry.Answer.Unknown {
		return OutcomeDone
	}
	entry.Finished = true
	entry.Answer = command.Answer
	part.Entries[command.Key] = entry
	part.StoredBytes += len(command.Answer.Body)
	part.evictBodies()
	return OutcomeDone
}

func (ledger *Ledger) drop(command DropRequest) Outcome {
	part := &ledger.Parts[command.Key.Part()]
	entry, ok := part.Entries[command.Key]
	if !ok || entry.Attempt != command.Attempt || entry.Finished {
		return OutcomeStale
	}
	delete(part.Entries, command.Key)
	return OutcomeDone
}

// expire removes the requests that have reached LedgerRetention.
func (ledgerpart *ledgerPart) expire(now time.Time) {
	for len(ledgerpart.Order) > 0 {
		key := ledgerpart.Order[0]
		entry, ok := ledgerpart.Entries[key]
		if ok && now.Sub(entry.At) < LedgerRetention {
			return
		}
		ledgerpart.StoredBytes -= len(entry.Answer.Body)
		delete(ledgerpart.Entries, key)
		ledgerpart.Order = ledgerpart.Order[1:]
	}
}

// evictBodies evicts the oldest stored bodies until the rest fit maxPartBodyBytes.
func (ledgerpart *ledgerPart) evictBodies() {
	for _, key := range ledgerpart.Order {
		if ledgerpart.StoredBytes <= maxPartBodyBytes {
			return
		}
		entry, ok := ledgerpart.Entries[key]
		if !ok || len(entry.Answer.Body) == 0 {
			continue
		}
		ledgerpart.StoredBytes -= len(entry.Answer.Body)
		entry.Answer.Body = nil
		entry.Answer.Omitted = true
		ledgerpart.Entries[key] = entry
	}
}

// Clone returns a copy that can be encoded while the original changes.
func (ledger *Ledger) Clone() *Ledger {
	clone := &Ledger{}
	for number, part := range ledger.Parts {
		clone.Parts[number] = ledgerPart{
			Entries:     maps.Clone(part.Entries),
			Order:       slices.Clone(part.Order),
			StoredBytes: part.StoredBytes,
		}
	}
	return clone
}
