package state

import (
	"damaskcrank.example/damaskcrank/internal/base/codec"
)

// Machine is the complete replicated state of a control host: catalog, ledger and the
// latest proposals.
type Machine struct {
	Catalog *Catalog
	Ledger  *Ledger
	// Format is the format of the log that the group uses.
	Format    uint64
	Proposers Proposers
}

// NewMachine returns a machine with empty state.
func NewMachine() *Machine {
	return &Machine{Catalog: &Catalog{}, Ledger: &Ledger{}, Proposers: Proposers{}}
}

// ApplyEntry decodes and applies the command at index. It returns the encoding of the
// command that followers of the catalog need in order to apply it too, or nil if it
// changed nothing for them. Only a command that can't be decoded gives an error.
func (machine *Machine) ApplyEntry(index uint64, data []byte) (Result, []byte, error) {
	command, err := DecodeCommand(data)
	if err != nil {
		return Result{}, nil, err
	}
	switch command := command.(type) {
	case SetFormat:
		machine.Format = max(machine.Format, command.Format)
		machine.Catalog = machine.Catalog.AdvanceTo(index)
		return Result{Index: index, Outcome: OutcomeDone}, nil, nil
	case Identified:
		return machine.applyOnce(index, command)
	}
	result := machine.Apply(index, command)
	if ChangesLedgerOnly(command) {
		return result, nil, nil
	}
	if changeitems, ok := command.(ChangeItems); ok {
		data, err = changeitems.encodeForFollowers(result)
	}
	return result, data, err
}

// applyOnce applies a command unless it repeats an earlier proposal. A repeat gets the
// result of the first.
func (machine *Machine) applyOnce(index uint64, identified Identified) (Result, []byte, error) {
	if result, applied := machine.Proposers.result(index, identified.ProposalID); applied {
		machine.Catalog = machine.Catalog.AdvanceTo(index)
		return result, nil, nil
	}
	result, change, err := machine.ApplyEntry(index, identified.Command)
	if err != nil {
		return Result{}, nil, err
	}
	machine.Proposers.record(index, identified.ProposalID, result)
	return result, change, nil
}

// Apply applies a command without an identity at index.
func (machine *Machine) Apply(index uint64, command Command) Result {
	if ChangesLedgerOnly(command) {
		machine.Catalog = machine.Catalog.AdvanceTo(index)
		return machine.Ledger.Apply(index, command, machine.Catalog)
	}
	catalog, result := machine.Catalog.Apply(index, command)
	machine.Catalog = catalog
	return result
}

// Clone returns a copy that can be encoded while the original changes.
func (machine *Machine) Clone() *Machine {
	return &Machine{
		Catalog: machine.Catalog, Ledger: machine.Ledger.Clone(), Format: machine.Format, Proposers: machine.Proposers.clone(),
	}
}

// machineSnapshot is the encoded form of a Machine.
type machineSnapshot struct {
	Catalog   []byte
	Ledger    *Ledger
	Format    uint64    `cbor:"Format,omitempty"`
	Proposers Proposers `cbor:"Proposers,omitempty"`
}

// Snapshot encodes the whole state.
func (machine *Machine) Snapshot() ([]byte, error) {
	catalog, err := machine.Catalog.Encode()
	if err != nil {
		return nil, err
	}
	data, err := codec.Marshal(machineSnapshot{
		Catalog: catalog, Ledger: machine.Ledger, Format: machine.Format, Proposers: machine.Proposers,
	})
	if err != nil {
		return nil, Error.New("encode snapshot: %w", err)
	}
	return data, nil
}

// RestoreMachine decodes a snapshot. Empty data yields an empty state. A snapshot in a
// later format than this version knows is an error.
func RestoreMachine(data []byte) (*Machine, error) {
	if len(data) == 0 {
		return NewMachine(), nil
	}
	snapshot := machineSnapshot{Ledger: &Ledger{}}
	if err := codec.Unmarshal(data, &snapshot); err != nil {
		return nil, Error.New("decode snapshot: %w", err)
	}
	if snapshot.Format > LatestFormat {
		return nil, Error.New("the snapshot has format %d, this version knows formats up to %d", snapshot.Format, LatestFormat)
	}
	catalog, err := DecodeCatalog(snapshot.Catalog)
	if err != nil {
		return nil, err
	}
	machine := &Machine{Catalog: catalog, Ledger: snapshot.Ledger, Format: snapshot.Format, Proposers: snapshot.Proposers}
	if machine.Proposers == nil {
		machine.Proposers = Proposers{}
	}
	return machine, nil
}

// Encode encodes the catalog.
func (catalog *Catalog) Encode() ([]byte, error) {
	data, err := codec.Marshal(catalog)
	if err != nil {
		return nil, Error.New("encode catalog: %w", err)
	}
	return data, nil
}

// DecodeCatalog decodes a catalog and parses its records.
func DecodeCatalog(data []byte) (*Catalog, error) {
	catalog := &Catalog{}
	if err := codec.Unmarshal(data, catalog); err != nil {
		return nil, Error.New("decode catalog: %w", err)
	}
	catalog.parseRecords()
	if len(catalog.Items.Items) > 0 {
		catalog.view = catalog.Items.View()
	}
	return catalog, nil
}
