package state

import (
	"time"

	"damaskcrank.example/damaskcrank/internal/base/codec"
	"damaskcrank.example/damaskcrank/internal/control/spec"
)

// Command is one entry of the replicated log.
type Command interface{ kind() commandKind }

// ApplyRecords stores new versions of records atomically.
type ApplyRecords struct {
	Records  []spec.Record
	Operator string
	At       time.Time
}

// OpenSession opens a session for a host that joins the fleet.
type OpenSession struct{ Host Host }

// CloseSession closes a host's session and frees its shards. Only a control
// leader proposes it, once the session's lease has certainly expired.
type CloseSession struct {
	Host  string
	Epoch uint64
}

// DrainSession marks the session of a host that is shutting down.
type DrainSession struct {
	Host  string
	Epoch uint64
}

// ShardMove assigns a shard to a host. Epoch is the shard's current epoch.
type ShardMove struct {
	Shard ShardID
	Epoch uint64
	Host  string
}

// MoveShards assigns free shards to hosts, and marks the others as moving so that
// their holders release them.
type MoveShards struct{ Moves []ShardMove }

// ReleaseShards is proposed by the holder of shards that it no longer serves. It
// releases only those that the session still holds under the given epoch.
type ReleaseShards struct {
	Session uint64
	// Epoch is the epoch of the shards. Logs of earlier versions have 0, which
	// matches any.
	Epoch  uint64
	Shards []ShardID
}

// RemoveShards removes shards that no host holds and nothing needs.
type RemoveShards struct{ Shards []ShardID }

// RegisterUpstream registers an announced upstream or updates it.
type RegisterUpstream struct{ Upstream Upstream }

// SetUpstreamFull sets or clears Upstream.Full.
type SetUpstreamFull struct {
	ID    UpstreamID
	Epoch uint64
	Full  bool
}

// RemoveUpstream removes an upstream after its grants have certainly expired. Only
// the holder of its dispatch shard may propose it.
type RemoveUpstream struct {
	ID         UpstreamID
	Epoch      uint64
	Shard      ShardID
	ShardEpoch uint64
	Reason     string
	At         time.Time
}

// SlotMove assigns a slot to an upstream. Token is the slot's current token. A
// key slot with Token 0 is split off from its partition.
type SlotMove struct {
	Slot  Slot
	Token uint64
	To    string
}

// MoveSlots assigns free slots to upstreams, and marks the others as moving so
// that the primaries of their owners release them.
type MoveSlots struct {
	Service string
	Moves   []SlotMove
}

// SlotRelease names a slot and the token under which it was served.
type SlotRelease struct {
	Slot  Slot
	Token uint64
}

// ReleaseSlots is proposed by a primary whose upstream no longer serves the slots.
type ReleaseSlots struct {
	Service    string
	Shard      ShardID
	ShardEpoch uint64
	Releases   []SlotRelease
}

// BeginRequest enters a request in the ledger before its first byte is sent.
type BeginRequest struct {
	Key         LedgerKey
	Fingerprint string
	Attempt     string
	Shard       ShardID
	ShardEpoch  uint64
	At          time.Time
}

// FinishRequest stores the answer of a request, or that its outcome is unknown.
type FinishRequest struct {
	Key     LedgerKey
	Attempt string
	Answer  Answer
}

// DropRequest removes a request that certainly did not run.
type DropRequest struct {
	Key     LedgerKey
	Attempt string
}

// commandKind identifies the type of a command in the log.
type commandKind string

const (
	kindApplyRecords     commandKind = "applyRecords"
	kindOpenSession      commandKind = "openSession"
	kindCloseSession     commandKind = "closeSession"
	kindDrainSession     commandKind = "drainSession"
	kindMoveShards       commandKind = "moveShards"
	kindReleaseShards    commandKind = "releaseShards"
	kindRemoveShards     commandKind = "removeShards"
	kindRegisterUpstream commandKind = "seeUpstream"
	kindSetUpstreamFull  commandKind = "markUpstream"
	kindRemoveUpstream   commandKind = "loseUpstream"
	kindMoveSlots        commandKind = "moveSlots"
	kindReleaseSlots     commandKind = "releaseSlots"
	kindBeginRequest     commandKind = "beginRequest"
	kindFinishRequest    commandKind = "finishRequest"
	kindDropRequest      commandKind = "dropRequest"
)

func (ApplyRecords) kind() commandKind     { return kindApplyRecords }
func (OpenSession) kind() commandKind      { return kindOpenSession }
func (CloseSession) kind() commandKind     { return kindCloseSession }
func (DrainSession) kind() commandKind     { return kindDrainSession }
func (MoveShards) kind() commandKind       { return kindMoveShards }
func (ReleaseShards) kind() commandKind    { return kindReleaseShards }
func (RemoveShards) kind() commandKind     { return kindRemoveShards }
func (RegisterUpstream) kind() commandKind { return kindRegisterUpstream }
func (SetUpstreamFull) kind() commandKind  { return kindSetUpstreamFull }
func (RemoveUpstream) kind() commandKind   { return kindRemoveUpstream }
func (MoveSlots) kind() commandKind        { return kindMoveSlots }
func (ReleaseSlots) kind() commandKind     { return kindReleaseSlots }
func (BeginRequest) kind() commandKind     { return kindBeginRequest }
func (FinishRequest) kind() commandKind    { return kindFinishRequest }
func (DropRequest) kind() commandKind      { return kindDropRequest }

// taggedCommand is an encoded command together with its kind.
type taggedCommand struct {
	_    struct{} `cbor:",toarray"`
	Kind commandKind
	Body codec.Raw
}

// EncodeCommand encodes a command for the log.
func EncodeCommand(command Command) ([]byte, error) {
	body, err := codec.Marshal(command)
	if err != nil {
		return nil, Error.New("encode command: %w", err)
	}
	data, err := codec.Marshal(taggedCommand{Kind: command.kind(), Body: body})
	if err != nil {
		return nil, Error.New("encode command: %w", err)
	}
	return data, nil
}

// DecodeCommand decodes a command of the log.
func DecodeCommand(data []byte) (Command, error) {
	var taggedcommand taggedCommand
	if err := codec.Unmarshal(data, &taggedcommand); err != nil {
		return nil, Error.New("decode command: %w", err)
	}
	command, err := decodeBody(taggedcommand.Kind, taggedcommand.Body)
	if err != nil {
		return nil, Error.New("decode command: %w", err)
	}
	return command, nil
}

// ErrUnknownCommand means that a command is of a kind that this version does not know.
var ErrUnknownCommand = Error.New("unknown kind of command")

// decoders holds the decoder of each kind of command.
var decoders = map[commandKind]func(codec.Raw) (Command, error){
	kindApplyRecords:     decodeAs[ApplyRecords],
	kindOpenSession:      decodeAs[OpenSession],
	kindCloseSession:     decodeAs[CloseSession],
	kindDrainSession:     decodeAs[DrainSession],
	kindMoveShards:       decodeAs[MoveShards],
	kindReleaseShards:    decodeAs[ReleaseShards],
	kindRemoveShards:     decodeAs[RemoveShards],
	kindRegisterUpstream: decodeAs[RegisterUpstream],
	kindSetUpstreamFull:  decodeAs[SetUpstreamFull],
	kindRemoveUpstream:   decodeAs[RemoveUpstream],
	kindMoveSlots:        decodeAs[MoveSlots],
	kindReleaseSlots:     decodeAs[ReleaseSlots],
	kindRecordSuspect:    decodeAs[RecordSuspect],
	kindClearSuspect:     decodeAs[ClearSuspect],
	kindUpdateSuspects:   decodeAs[UpdateSuspects],
	kindSetFormat:        decodeAs[SetFormat],
	kindIdentified:       decodeAs[Identified],
	kindBeginRequest:     decodeAs[BeginRequest],
	kindFinishRequest:    decodeAs[FinishRequest],
	kindDropRequest:      decodeAs[DropRequest],

	kindPutItems:            decodeAs[PutItems],
	kindEvacuateDataCentre:  decodeAs[EvacuateDataCentre],
	kindRegisterInstance:    decodeAs[RegisterInstance],
	kindChangeItems:         decodeAs[ChangeItems],
	kindMarkSilent:          decodeAs[MarkSilent],
	kindMarkDraining:        decodeAs[MarkDraining],
	kindRemoveInstances:     decodeAs[RemoveInstances],
	kindChangeSpans:         decodeAs[ChangeSpans],
	kindRegisterEntry:       decodeAs[RegisterEntry],
	kindRemoveEntries:       decodeAs[RemoveEntries],
	kindRegisterControlHost: decodeAs[RegisterControlHost],

	kindRecordStable: decodeAs[RecordStable],
	kindStartRollout: decodeAs[StartRollout],
	kindSetExposure:  decodeAs[SetExposure],
	kindEndRollout:   decodeAs[EndRollout],
}

func decodeBody(kind commandKind, body codec.Raw) (Command, error) {
	decode, ok := decoders[kind]
	if !ok {
		return nil, Error.New("%w: %q", ErrUnknownCommand, kind)
	}
	return decode(body)
}

func decodeAs[T Command](body codec.Raw) (Command, error) {
	var command T
	if err := codec.Unmarshal(body, &command); err != nil {
		return nil, Error.New("%w", err)
	}
	return command, nil
}

// ChangesLedgerOnly reports whether a command changes only the ledger, so that hosts
// without the ledger do not need the command.
func ChangesLedgerOnly(command Command) bool {
	switch command.(type) {
	case BeginRequest, FinishRequest, DropRequest:
		return true
	default:
		return false
	}
}

// Outcome classifies the result of a command.
type Outcome string

// The outcomes of commands.
const (
	OutcomeDone       Outcome = "done"
	OutcomeResent     Outcome = "resent"
	OutcomeConflict   Outcome = "conflict"
	OutcomeInvalid    Outcome = "invalid"
	OutcomeTooLarge   Outcome = "tooLarge"
	OutcomeStale      Outcome = "stale"
	OutcomeInProgress Outcome = "inProgress"
	OutcomeFinished   Outcome = "finished"
	OutcomeUnknown    Outcome = "unknown"
	OutcomeMismatch   Outcome = "mismatch"
	OutcomeFull       Outcome = "full"
	// OutcomeForgotten means that the command repeats a proposal whose result is not
	// remembered any more. It had no effect this time.
	OutcomeForgotten Outcome = "forgotten"
	// OutcomeQuarantined means that the request is refused from now on.
	OutcomeQuarantined Outcome = "quarantined"
)

// Result is returned to the proposer of a command.
type Result struct {
	Index   uint64
	Outcome Outcome
	Detail  string
	// Answer is the stored answer of a finished request.
	Answer Answer
}
