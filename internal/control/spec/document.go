package spec

import (
	"bytes"
	"encoding/json"
	"sort"

	"github.com/pelletier/go-toml/v2"
)

// Format is the file format of a document.
type Format string

// The supported formats.
const (
	FormatTOML Format = "toml"
	FormatJSON Format = "json"
)

// ParseDocument parses a document of records and validates them. The document has
// one list for each kind, whose elements are records with name, schema and version.
func ParseDocument(data []byte, format Format) ([]Record, error) {
	fields := map[string]any{}
	var err error
	switch format {
	case FormatTOML:
		err = toml.Unmarshal(data, &fields)
	case FormatJSON:
		decoder := json.NewDecoder(bytes.NewReader(data))
		decoder.UseNumber()
		err = decoder.Decode(&fields)
	default:
		return nil, Error.New("format %q is neither toml nor json", format)
	}
	if err != nil {
		return nil, Error.New("read document: %w", err)
	}
	return parseRecords(fields)
}

// parseRecords returns the records of a document in the order of Kinds.
func parseRecords(fields map[string]any) ([]Record, error) {
	if err := checkKinds(fields); err != nil {
		return nil, err
	}
	var records []Record
	for _, kind := range Kinds() {
		value, ok := fields[string(kind)]
		if !ok {
			continue
		}
		elements, ok := value.([]any)
		if !ok {
			return nil, Error.New("%s is not a list of records", kind)
		}
		for position, element := range elements {
			record, err := newRecord(kind, element)
			if err != nil {
				return nil, Error.New("%s number %d: %w", kind, position+1, err)
			}
			records = append(records, record)
		}
	}
	if len(records) == 0 {
		return nil, Error.New("the document contains no records")
	}
	return records, nil
}

// checkKinds returns an error for an unknown kind. Of several it names the first in
// alphabetical order, so that the error is deterministic.
func checkKinds(fields map[string]any) error {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if !Kind(name).Valid() {
			return Error.New("kind %q does not exist", name)
		}
	}
	return nil
}

// newRecord converts an element of a document into a validated record.
func newRecord(kind Kind, element any) (Record, error) {
	body, err := json.Marshal(element)
	if err != nil {
		return Record{}, Error.New("encode record: %w", err)
	}
	var fields commonFields
	if err := json.Unmarshal(body, &fields); err != nil {
		return Record{}, Error.New("%w", err)
	}
	record := Record{Kind: kind, Name: fields.Name, Schema: fields.Schema, Version: fields.Version, Body: body}
	if _, err := record.Parse(); err != nil {
		return Record{}, err
	}
	return record, nil
}
