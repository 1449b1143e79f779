package spec

import (
	"bytes"
	"encoding/json"
	"sort"

	"github.com/pelletier/go-toml/v2"
)

// Format is the notation of a document.
type Format string

// The notations that operators may use.
const (
	FormatTOML Format = "toml"
	FormatJSON Format = "json"
)

// ParseDocument reads a document of records: a table per kind that lists the
// records, each with name, schema and version. All records are checked.
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
	return collect(fields)
}

func collect(fields map[string]any) ([]Record, error) {
	if err := checkKinds(fields); err != nil {
		return nil, err
	}
	var records []Record
	for _, kind := range Kinds() {
		value, ok := fields[string(kind)]
		if !ok {
			continue
		}
		rows, ok := value.([]any)
		if !ok {
			return nil, Error.New("%s is not a list of records", kind)
		}
		for position, row := range rows {
			record, err := newRecord(kind, row)
			if err != nil {
				return nil, Error.New("%s number %d: %w", kind, position+1, err)
			}
			records = append(records, record)
		}
	}
	if len(records) == 0 {
		return nil, Error.New("the document holds no records")
	}
	return records, nil
}

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

// newRecord turns a row of a document into a checked record.
func newRecord(kind Kind, row any) (Record, error) {
	body, err := json.Marshal(row)
	if err != nil {
		return Record{}, Error.New("encode: %w", err)
	}
	var fields header
	if err := json.Unmarshal(body, &fields); err != nil {
		return Record{}, Error.New("%w", err)
	}
	record := Record{Kind: kind, Name: fields.Name, Schema: fields.Schema, Version: fields.Version, Body: body}
	if _, err := record.Parse(); err != nil {
		return Record{}, err
	}
	return record, nil
}
