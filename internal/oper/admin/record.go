package admin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/spec"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

const (
	defaultHistoryLimit = 50
	// maxConflictRetries bounds the retries when another change of the same record
	// was committed first.
	maxConflictRetries = 5
)

// RecordReply is a record whose body is embedded as JSON.
type RecordReply struct {
	spec.Record

	Body json.RawMessage `json:"body"`
}

func newRecordReply(record spec.Record) RecordReply {
	return RecordReply{Record: record, Body: json.RawMessage(record.Body)}
}

// listRecords returns the current records, all or of one kind, sorted by ID.
func (admin *Admin) listRecords(_ string, request *http.Request) (any, error) {
	kind := spec.Kind(request.URL.Query().Get("kind"))
	if kind != "" && !kind.Valid() {
		return nil, statusErrorf(http.StatusNotFound, "kind %q does not exist", kind)
	}
	replies := []RecordReply{}
	for id, record := range admin.Catalogs.Catalog().Records {
		if !record.Deleted && (kind == "" || id.Kind == kind) {
			replies = append(replies, newRecordReply(record))
		}
	}
	slices.SortFunc(replies, func(left, right RecordReply) int {
		return strings.Compare(left.ID().String(), right.ID().String())
	})
	return replies, nil
}

func recordID(request *http.Request) spec.ID {
	return spec.ID{Kind: spec.Kind(request.PathValue("kind")), Name: request.PathValue("name")}
}

func (admin *Admin) getRecord(_ string, request *http.Request) (any, error) {
	id := recordID(request)
	record, ok := admin.Catalogs.Catalog().Records[id]
	if !ok || record.Deleted {
		return nil, statusErrorf(http.StatusNotFound, "%s does not exist", id)
	}
	return newRecordReply(record), nil
}

// deleteRecord commits a version that marks a record as deleted. The version
// must be the one after the current version.
func (admin *Admin) deleteRecord(operator string, request *http.Request) (any, error) {
	id := recordID(request)
	record, ok := admin.Catalogs.Catalog().Records[id]
	if !ok {
		return nil, statusErrorf(http.StatusNotFound, "%s does not exist", id)
	}
	version, err := strconv.ParseUint(request.URL.Query().Get("version"), 10, 64)
	if err != nil {
		return nil, statusErrorf(http.StatusBadRequest, "version must be a number: %w", err)
	}
	record.Version = version
	record.Deleted = true
	record.Body = []byte("{}")
	return admin.applyRecords(request.Context(), operator, []spec.Record{record})
}

// ChangeReply is one entry of the history: an accepted version of a record.
type ChangeReply struct {
	Index    uint64      `json:"index"`
	At       time.Time   `json:"at"`
	Operator string      `json:"operator"`
	Record   RecordReply `json:"record"`
}

func (admin *Admin) history(_ string, request *http.Request) (any, error) {
	limit := defaultHistoryLimit
	if text := request.URL.Query().Get("limit"); text != "" {
		parsed, err := strconv.Atoi(text)
		if err != nil || parsed < 1 {
			return nil, statusErrorf(http.StatusBadRequest, "limit must be a number over 0")
		}
		limit = parsed
	}
	name := request.URL.Query().Get("record")
	replies := []ChangeReply{}
	changes := admin.Catalogs.Catalog().History
	for position := len(changes) - 1; position >= 0 && len(replies) < limit; position-- {
		change := changes[position]
		if name != "" && change.Record.ID().String() != name {
			continue
		}
		replies = append(replies, ChangeReply{
			Index: change.Index, At: change.At, Operator: change.Operator, Record: newRecordReply(change.Record),
		})
	}
	return replies, nil
}

// setInService takes a data centre or an upstream out of service, or puts it
// back into service.
func (admin *Admin) setInService(operator string, request *http.Request) (any, error) {
	kind := spec.Kind(request.PathValue("kind"))
	inService := request.PathValue("state") == "in"
	if kind != spec.KindDataCentre && kind != spec.KindUpstream || !inService && request.PathValue("state") != "out" {
		return nil, statusErrorf(http.StatusNotFound, "only a dataCentre or an upstream can be taken out or in")
	}
	id := spec.ID{Kind: kind, Name: request.PathValue("name")}
	for attempt := 0; ; attempt++ {
		record, err := inServiceRecord(admin.Catalogs.Catalog().Records[id], id, inService)
		if err != nil {
			return nil, statusErrorf(http.StatusUnprocessableEntity, "%w", err)
		}
		answer, err := admin.applyRecords(request.Context(), operator, []spec.Record{record})
		if answer.Outcome == state.OutcomeConflict && attempt < maxConflictRetries {
			<-admin.Clock.After(pollInterval)
			continue
		}
		return answer, err
	}
}

// inServiceRecord returns the next version of a record, with inService set. A
// record that does not exist yet, or was deleted, is created in the new schema.
func inServiceRecord(current spec.Record, id spec.ID, inService bool) (spec.Record, error) {
	fields := map[string]any{}
	schema := spec.SchemaV2
	if current.Version > 0 && !current.Deleted {
		schema = current.Schema
		if err := json.Unmarshal(current.Body, &fields); err != nil {
			return spec.Record{}, Error.New("read %s: %w", id, err)
		}
	}
	fields["name"] = id.Name
	fields["schema"] = schema
	fields["version"] = current.Version + 1
	fields["inService"] = inService
	body, err := json.Marshal(fields)
	if err != nil {
		return spec.Record{}, Error.New("write %s: %w", id, err)
	}
	record := spec.Record{Kind: id.Kind, Name: id.Name, Schema: schema, Version: current.Version + 1, Body: body}
	if _, err := record.Parse(); err != nil {
		return spec.Record{}, err
	}
	return record, nil
}
