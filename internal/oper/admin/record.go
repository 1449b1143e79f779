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
	defaultHistory = 50
	// setTries bounds the tries to change a record that others change too.
	setTries = 5
)

// RecordReply is a record as it was written.
type RecordReply struct {
	spec.Record

	Body json.RawMessage `json:"body"`
}

func reply(record spec.Record) RecordReply {
	return RecordReply{Record: record, Body: json.RawMessage(record.Body)}
}

// listRecords lists the records in force, all or of one kind.
func (admin *Admin) listRecords(_ string, request *http.Request) (any, error) {
	kind := spec.Kind(request.URL.Query().Get("kind"))
	if kind != "" && !kind.Valid() {
		return nil, fail(http.StatusNotFound, "kind %q does not exist", kind)
	}
	replies := []RecordReply{}
	for id, record := range admin.Follower.Catalog().Records {
		if !record.Deleted && (kind == "" || id.Kind == kind) {
			replies = append(replies, reply(record))
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
	record, ok := admin.Follower.Catalog().Records[id]
	if !ok || record.Deleted {
		return nil, fail(http.StatusNotFound, "%s does not exist", id)
	}
	return reply(record), nil
}

// deleteRecord withdraws a record. The version must follow the one in force.
func (admin *Admin) deleteRecord(operator string, request *http.Request) (any, error) {
	id := recordID(request)
	record, ok := admin.Follower.Catalog().Records[id]
	if !ok {
		return nil, fail(http.StatusNotFound, "%s does not exist", id)
	}
	version, err := strconv.ParseUint(request.URL.Query().Get("version"), 10, 64)
	if err != nil {
		return nil, fail(http.StatusBadRequest, "version must be a number: %w", err)
	}
	record.Version = version
	record.Deleted = true
	record.Body = []byte("{}")
	return admin.applyRecords(request.Context(), operator, []spec.Record{record})
}

// ChangeReply is one accepted version in the history.
type ChangeReply struct {
	Index    uint64      `json:"index"`
	At       time.Time   `json:"at"`
	Operator string      `json:"operator"`
	Record   RecordReply `json:"record"`
}

func (admin *Admin) history(_ string, request *http.Request) (any, error) {
	limit := defaultHistory
	if text := request.URL.Query().Get("limit"); text != "" {
		parsed, err := strconv.Atoi(text)
		if err != nil || parsed < 1 {
			return nil, fail(http.StatusBadRequest, "limit must be a number over 0")
		}
		limit = parsed
	}
	name := request.URL.Query().Get("record")
	replies := []ChangeReply{}
	changes := admin.Follower.Catalog().History
	for position := len(changes) - 1; position >= 0 && len(replies) < limit; position-- {
		change := changes[position]
		if name != "" && change.Record.ID().String() != name {
			continue
		}
		replies = append(replies, ChangeReply{
			Index: change.Index, At: change.At, Operator: change.Operator, Record: reply(change.Record),
		})
	}
	return replies, nil
}

// setService takes a data centre or an upstream out of service or back in.
func (admin *Admin) setService(operator string, request *http.Request) (any, error) {
	kind := spec.Kind(request.PathValue("kind"))
	inService := request.PathValue("state") == "in"
	if kind != spec.KindDataCentre && kind != spec.KindUpstream || !inService && request.PathValue("state") != "out" {
		return nil, fail(http.StatusNotFound, "only a dataCentre or an upstream can be taken out or in")
	}
	id := spec.ID{Kind: kind, Name: request.PathValue("name")}
	for try := 0; ; try++ {
		record, err := serviceRecord(admin.Follower.Catalog().Records[id], id, inService)
		if err != nil {
			return nil, fail(http.StatusUnprocessableEntity, "%w", err)
		}
		answer, err := admin.applyRecords(request.Context(), operator, []spec.Record{record})
		if answer.Outcome == state.OutcomeConflict && try < setTries {
			<-admin.Clock.After(forcePoll)
			continue
		}
		return answer, err
	}
}

// serviceRecord returns the next version of a record with inService set. A new
// one is written in the new schema.
func serviceRecord(present spec.Record, id spec.ID, inService bool) (spec.Record, error) {
	fields := map[string]any{}
	schema := spec.NewSchema
	if present.Version > 0 && !present.Deleted {
		schema = present.Schema
		if err := json.Unmarshal(present.Body, &fields); err != nil {
			return spec.Record{}, Error.New("read %s: %w", id, err)
		}
	}
	fields["name"] = id.Name
	fields["schema"] = schema
	fields["version"] = present.Version + 1
	fields["inService"] = inService
	body, err := json.Marshal(fields)
	if err != nil {
		return spec.Record{}, Error.New("write %s: %w", id, err)
	}
	record := spec.Record{Kind: id.Kind, Name: id.Name, Schema: schema, Version: present.Version + 1, Body: body}
	if _, err := record.Parse(); err != nil {
		return spec.Record{}, err
	}
	return record, nil
}
