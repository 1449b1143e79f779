package state

import (
	"damaskcrank.example/damaskcrank/internal/base/codec"
)

// Machine is the complete replicated state of a control host: catalog and ledger.
type Machine struct {
	Catalog *Catalog
	Ledger  *Ledger
}

// NewMachine returns a machine with empty state.
func NewMachine() *Machine {
	return &Machine{Catalog: &Catalog{}, Ledger: &Ledger{}}
}

// Apply applies the command at index.
func (machine *Machine) Apply(index uint64, command Command) Result {
	if ChangesLedgerOnly(command) {
		machine.Catalog = machine.Catalog.AdvanceTo(index)
		return machine.Ledger.Apply(index, command, machine.Catalog)
	}
	catalog, result := machine.Catalog.Apply(index, command)
	machine.Catalog = catalog
	return result
}

// machineSnapshot is the encoded form of a Machine.
type machineSnapshot struct {
	Catalog []byte
	Ledger  *Ledger
}

// Snapshot encodes the whole state.
func (machine *Machine) Snapshot() ([]byte, error) {
	catalog, err := machine.Catalog.Encode()
	if err != nil {
		return nil, err
	}
	data, err := codec.Marshal(machineSnapshot{Catalog: catalog, Ledger: machine.Ledger})
	if err != nil {
		return nil, Error.New("encode snapshot: %w", err)
	}
	return data, nil
}

// RestoreMachine decodes a snapshot. Empty data yields an empty state.
func RestoreMachine(data []byte) (*Machine, error) {
	if len(data) == 0 {
		return NewMachine(), nil
	}
	snapshot := machineSnapshot{Ledger: &Ledger{}}
	if err := codec.Unmarshal(data, &snapshot); err != nil {
		return nil, Error.New("decode snapshot: %w", err)
	}
	catalog, err := DecodeCatalog(snapshot.Catalog)
	if err != nil {
		return nil, err
	}
	return &Machine{Catalog: catalog, Ledger: snapshot.Ledger}, nil
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
