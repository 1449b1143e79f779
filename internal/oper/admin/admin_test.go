package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/base/conf"
	"damaskcrank.example/damaskcrank/internal/base/stats"
	"damaskcrank.example/damaskcrank/internal/control/group"
	"damaskcrank.example/damaskcrank/internal/control/spec"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/shard"
	"damaskcrank.example/damaskcrank/internal/dispatch/upstr"
	"damaskcrank.example/damaskcrank/internal/entry/front"
	"damaskcrank.example/damaskcrank/internal/peer/links"
)

// fakeFleet implements all interfaces that Admin depends on.
type fakeFleet struct {
	machine *state.Machine
	lagging []group.HostProgress
	err     error
	loads   int
	valid   bool
}

func (fakefleet *fakeFleet) Catalog() *state.Catalog { return fakefleet.machine.Catalog }
func (fakefleet *fakeFleet) Valid() bool             { return fakefleet.valid }

func (fakefleet *fakeFleet) Propose(_ context.Context, command state.Command) (state.Result, error) {
	if fakefleet.err != nil {
		return state.Result{}, fakefleet.err
	}
	return fakefleet.machine.Apply(fakefleet.machine.Catalog.Index+1, command), nil
}

func (fakefleet *fakeFleet) Lagging(context.Context, uint64) ([]group.HostProgress, error) {
	return fakefleet.lagging, nil
}

func (fakefleet *fakeFleet) LeaderStatus(context.Context) (group.Status, error) {
	return group.Status{}, nil
}

func (fakefleet *fakeFleet) Change(context.Context, group.ChangeArgs) (uint64, error) { return 0, nil }

func (fakefleet *fakeFleet) Hello(netip.AddrPort) (group.HelloReply, error) {
	return group.HelloReply{}, errors.New("host unreachable")
}

func (fakefleet *fakeFleet) ReportLoad(upstr.Announcement) { fakefleet.loads++ }
func (fakefleet *fakeFleet) Status() []shard.Status        { return nil }

func (fakefleet *fakeFleet) Call(context.Context, netip.AddrPort, links.Payload) (links.Payload, error) {
	return links.Payload{}, errors.New("no link")
}

func newAdmin() (*fakeFleet, *Admin, *clockwork.FakeClock) {
	fleet := &fakeFleet{machine: state.NewMachine(), valid: true}
	clock := clockwork.NewFakeClockAt(time.Unix(9000, 0))
	return fleet, &Admin{
		Host: "h0", Catalogs: fleet, Lease: fleet, Control: fleet, Shards: fleet, Links: fleet, Clock: clock,
		Tokens: []conf.Token{{Name: "ruba", Hash: front.HashSecret("token")}},
		Log:    &log.Logger{Handler: discard.New()}, Stats: &stats.Set{}, Draining: func() bool { return false },
	}, clock
}

func doAsOperator(admin *Admin, method, path, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer token")
	recorder := httptest.NewRecorder()
	admin.Handler().ServeHTTP(recorder, request)
	return recorder
}

func workspaceDocument(version int, weight float64) string {
	return fmt.Sprintf("[[workspace]]\nname = \"w\"\nschema = 2\nversion = %d\nweight = %g\n", version, weight)
}

func TestUnauthorizedRequests(t *testing.T) {
	for _, header := range []string{"", "Bearer guess", "token", "Basic token"} {
		is := is.New(t)
		_, admin, _ := newAdmin()
		request := httptest.NewRequest(http.MethodGet, "/api/v1/records", http.NoBody)
		request.Header.Set("Authorization", header)
		recorder := httptest.NewRecorder()
		admin.Handler().ServeHTTP(recorder, request)
		is.Equal(recorder.Code, http.StatusUnauthorized)
	}
}

// TestApply applies, repeats and deletes versions of a record. A repeated
// version is accepted, a different one with the same number is a conflict.
func TestApply(t *testing.T) {
	is := is.New(t)
	_, admin, _ := newAdmin()
	is.Equal(doAsOperator(admin, http.MethodPost, "/api/v1/records", workspaceDocument(1, 1)).Code, http.StatusOK)
	is.Equal(doAsOperator(admin, http.MethodPost, "/api/v1/records", workspaceDocument(1, 1)).Code, http.StatusOK) // sent again
	is.Equal(doAsOperator(admin, http.MethodPost, "/api/v1/records", workspaceDocument(1, 2)).Code, http.StatusConflict)
	is.Equal(doAsOperator(admin, http.MethodPost, "/api/v1/records", workspaceDocument(2, 2)).Code, http.StatusOK)
	is.Equal(doAsOperator(admin, http.MethodPost, "/api/v1/records", "garbage").Code, http.StatusUnprocessableEntity)
	is.Equal(doAsOperator(admin, http.MethodPost, "/api/v1/records", "[[workspace]]\nname = \"w\"\nschema = 2\nversion = 3\nsize = 1\n").Code, http.StatusUnprocessableEntity)
	is.Equal(doAsOperator(admin, http.MethodGet, "/api/v1/records/workspace/w", "").Code, http.StatusOK)
	is.Equal(doAsOperator(admin, http.MethodDelete, "/api/v1/records/workspace/w?version=2", "").Code, http.StatusConflict)
	is.Equal(doAsOperator(admin, http.MethodDelete, "/api/v1/records/workspace/w?version=3", "").Code, http.StatusOK)
	is.Equal(doAsOperator(admin, http.MethodGet, "/api/v1/records/workspace/w", "").Code, http.StatusNotFound)
	var changes []ChangeReply
	is.NoErr(json.Unmarshal(doAsOperator(admin, http.MethodGet, "/api/v1/history?record=workspace/w", "").Body.Bytes(), &changes))
	is.Equal(len(changes), 3)
	is.Equal(changes[0].Operator, "ruba")
}

// TestAwaitAppliedReturnsLaggingHosts checks that the wait ends with its context
// and returns the hosts that have not applied the change.
func TestAwaitAppliedReturnsLaggingHosts(t *testing.T) {
	is := is.New(t)
	fleet, admin, clock := newAdmin()
	fleet.lagging = []group.HostProgress{{Host: "h7"}}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		_ = clock.BlockUntilContext(ctx, 1)
		cancel()
	}()
	is.Equal(admin.awaitApplied(ctx, 5), []string{"h7"})
}

// TestUnconfirmedCommit checks that a failed proposal is reported to the operator
// as possibly committed.
func TestUnconfirmedCommit(t *testing.T) {
	is := is.New(t)
	fleet, admin, _ := newAdmin()
	fleet.err = errors.New("no answer")
	recorder := doAsOperator(admin, http.MethodPost, "/api/v1/records", workspaceDocument(1, 1))
	is.Equal(recorder.Code, http.StatusServiceUnavailable)
	is.True(strings.Contains(recorder.Body.String(), "may or may not"))
}

func TestSetInService(t *testing.T) {
	is := is.New(t)
	fleet, admin, _ := newAdmin()
	is.Equal(doAsOperator(admin, http.MethodPost, "/api/v1/service/dataCentre/out/zarqa", "").Code, http.StatusOK)
	is.True(!fleet.Catalog().DataCentreInService("zarqa"))
	is.Equal(doAsOperator(admin, http.MethodPost, "/api/v1/service/dataCentre/in/zarqa", "").Code, http.StatusOK)
	is.True(fleet.Catalog().DataCentreInService("zarqa"))
	is.Equal(doAsOperator(admin, http.MethodPost, "/api/v1/service/upstream/out/s/u1", "").Code, http.StatusOK)
	is.Equal(doAsOperator(admin, http.MethodPost, "/api/v1/service/workspace/out/w", "").Code, http.StatusNotFound)
	is.Equal(doAsOperator(admin, http.MethodPost, "/api/v1/service/upstream/out/noservice", "").Code, http.StatusUnprocessableEntity)
}

func postAnnouncement(admin *Admin, text string) int {
	request := httptest.NewRequest(http.MethodPost, upstr.AnnouncePath, strings.NewReader(text))
	recorder := httptest.NewRecorder()
	admin.Handler().ServeHTTP(recorder, request)
	return recorder.Code
}

// TestMoveOfKeyToItsOwner gives a key to the upstream that owns its partition. The
// command waited for a slot that the key never got, and failed after its timeout.
func TestMoveOfKeyToItsOwner(t *testing.T) {
	is := is.New(t)
	fleet, admin, clock := newAdmin()
	records, err := spec.ParseDocument([]byte("[[service]]\nname = \"s\"\nschema = 1\nversion = 1\npartitions = 1\n"), spec.FormatTOML)
	is.NoErr(err)
	for _, command := range []state.Command{
		state.ApplyRecords{Records: records, At: clock.Now()},
		state.RegisterUpstream{Upstream: state.Upstream{ID: state.UpstreamID{Service: "s", Name: "u0"}, Slots: 2}},
		state.MoveSlots{Service: "s", Moves: []state.SlotMove{{To: "u0"}}},
	} {
		_, err := fleet.Propose(t.Context(), command)
		is.NoErr(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // a key that is in place is answered without a wait
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/api/v1/moves", strings.NewReader(`{"service":"s","key":"van-7","to":"u0"}`))
	request.Header.Set("Authorization", "Bearer token")
	recorder := httptest.NewRecorder()
	admin.Handler().ServeHTTP(recorder, request)
	is.Equal(recorder.Code, http.StatusOK)
}

// TestAnnouncements checks that valid announcements are accepted and invalid ones
// rejected, that only changes are committed, and that a lost upstream is
// readmitted only after a delay.
func TestAnnouncements(t *testing.T) {
	is := is.New(t)
	fleet, admin, clock := newAdmin()
	is.Equal(doAsOperator(admin, http.MethodPost, "/api/v1/records", "[[service]]\nname = \"s\"\nschema = 1\nversion = 1\npartitions = 1\n").Code, http.StatusOK)
	good := `{"service":"s","name":"u","address":"127.0.0.1:80","incarnation":"one","slots":2}`
	for _, bad := range []string{
		"", "{", "[]", `{"service":"s"}`, strings.Replace(good, `"slots":2`, `"slots":0`, 1),
		strings.Replace(good, `"slots":2`, `"slots":2,"coldRate":-1`, 1), strings.Replace(good, "127.0.0.1:80", "nowhere", 1),
		strings.Replace(good, `"s"`, `"other"`, 1), strings.Repeat("x", 100000),
	} {
		is.True(postAnnouncement(admin, bad) != http.StatusOK)
	}
	is.Equal(len(fleet.Catalog().Upstreams), 0)
	is.Equal(postAnnouncement(admin, good), http.StatusOK)
	index := fleet.Catalog().Index
	is.Equal(postAnnouncement(admin, strings.Replace(good, `"slots":2`, `"slots":2,"load":1`, 1)), http.StatusOK)
	is.Equal(fleet.Catalog().Index, index) // unchanged, so nothing is committed

	fleet.machine.Apply(index+1, state.OpenSession{Host: state.Host{Name: "h0"}})
	id := state.DispatchShard("s", "u")
	fleet.machine.Apply(index+2, state.MoveShards{Moves: []state.ShardMove{{Shard: id, Host: "h0"}}})
	upstream := state.UpstreamID{Service: "s", Name: "u"}
	fleet.machine.Apply(index+3, state.RemoveUpstream{ID: upstream, Epoch: index, Shard: id, ShardEpoch: index + 2, At: clock.Now()})
	is.Equal(len(fleet.Catalog().Upstreams), 0)
	is.True(postAnnouncement(admin, good) != http.StatusOK)                                  // same process, before the delay has passed
	is.Equal(postAnnouncement(admin, strings.Replace(good, "one", "two", 1)), http.StatusOK) // new process, readmitted at once
	fleet.machine.Apply(fleet.Catalog().Index+1, state.RemoveUpstream{
		ID: upstream, Epoch: fleet.Catalog().Upstreams[upstream].Epoch, Shard: id, ShardEpoch: index + 2, At: clock.Now(),
	})
	clock.Advance(time.Minute)
	is.Equal(postAnnouncement(admin, strings.Replace(good, "one", "two", 1)), http.StatusOK) // same process, after the delay
}

func TestHealth(t *testing.T) {
	for _, test := range []struct {
		name     string
		valid    bool
		draining bool
		status   int
	}{
		{"healthy", true, false, http.StatusOK},
		{"no lease", false, false, http.StatusServiceUnavailable},
		{"shutting down", true, true, http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fleet, admin, _ := newAdmin()
			fleet.valid = test.valid
			admin.Draining = func() bool { return test.draining }
			request := httptest.NewRequest(http.MethodGet, "/healthz", http.NoBody)
			recorder := httptest.NewRecorder()
			admin.Handler().ServeHTTP(recorder, request)
			is.Equal(recorder.Code, test.status)
		})
	}
}

func FuzzAnnounce(f *testing.F) {
	f.Add(`{"service":"s","name":"u","address":"127.0.0.1:80","incarnation":"one","slots":2}`)
	_, admin, _ := newAdmin()
	f.Fuzz(func(_ *testing.T, text string) { postAnnouncement(admin, text) })
}
