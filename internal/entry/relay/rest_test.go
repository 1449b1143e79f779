package relay

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/items"
	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/dispatch/admit"
)

const (
	// restTime is the rest that upstreams ask for, and restSlack the users' bound: in what
	// is left of it after restNotice, an upstream gets at most restSlack requests from a
	// host.
	restTime   = 3 * time.Second
	restNotice = 500 * time.Millisecond
	restSlack  = 2
	// wordTimeout is shorter than any rest.
	wordTimeout = 200 * time.Millisecond
	// restStep is the time between two requests.
	restStep = 20 * time.Millisecond
)

// wordProtocol is a protocol in which upstreams ask for rest, or say that they leave, and
// requests have keys.
type wordProtocol struct{}

// ParseRequest implements Protocol.
func (wordProtocol) ParseRequest(header http.Header) RequestInfo {
	requestinfo := protocol{}.ParseRequest(header)
	key, err := strconv.ParseUint(header.Get("Shard"), 10, 16)
	requestinfo.ShardKey, requestinfo.HasShardKey = uint16(key), err == nil
	return requestinfo
}

// PrepareHeader implements Protocol.
func (wordProtocol) PrepareHeader(header http.Header, forwardinfo ForwardInfo) {
	protocol{}.PrepareHeader(header, forwardinfo)
	header.Set("Upstream", forwardinfo.Upstream)
}

// ParseResponse implements Protocol.
func (wordProtocol) ParseResponse(status int, header http.Header) ResponseInfo {
	responseinfo := protocol{}.ParseResponse(status, header)
	seconds, _ := strconv.Atoi(header.Get("Rest"))
	responseinfo.Rest = time.Duration(seconds) * time.Second
	responseinfo.Leaving = header.Get("Leaving") != ""
	return responseinfo
}

const (
	// wordUpstreams is the number of upstreams, which own equal ranges of wordKeys keys.
	wordUpstreams = 4
	wordKeys      = spans.MaxKey / wordUpstreams
)

// wordFleet is a host and upstreams at one address, of which some ask for rest or leave.
type wordFleet struct {
	t       *testing.T
	clock   *clockwork.FakeClock
	relay   *Relay
	address netip.AddrPort
	// born is the start of the upstreams' processes, and version that of the key table.
	born    int64
	version uint64

	mutex sync.Mutex
	// resting and leaving are the upstreams that ask for rest and those that leave.
	resting, leaving map[string]bool
	// arrivals are the times at which each upstream got a request, and toldAt is when it
	// last began a rest, or first said that it leaves.
	arrivals map[string][]time.Time
	toldAt   map[string][]time.Time
}

func newWordFleet(t *testing.T) *wordFleet {
	t.Helper()
	fleet := &wordFleet{
		clock: clockwork.NewFakeClockAt(time.Unix(1000, 0)), resting: map[string]bool{}, leaving: map[string]bool{},
		arrivals: map[string][]time.Time{}, toldAt: map[string][]time.Time{}, t: t,
	}
	server := httptest.NewServer(fleet)
	t.Cleanup(server.Close)
	fleet.relay = newRelayWithClock(t, &upstreams{listener: server.Listener}, 0, fleet.clock)
	fleet.relay.Protocol = wordProtocol{}
	set, _, err := items.Set{}.Merge([]items.Item{
		{Kind: items.KindService, Name: "jobs", Version: 1, Service: &items.Service{Keyed: true}},
		{Kind: items.KindWorkspace, Name: "w", Version: 1, Workspace: &items.Workspace{Keys: []string{"k"}}},
		route("book", false, wordTimeout),
	})
	if err != nil {
		t.Fatal(err)
	}
	fleet.relay.Config = func() ConfigSnapshot {
		return ConfigSnapshot{View: set.View(), Index: 1, ConfirmedAt: fleet.clock.Now()}
	}
	fleet.address = netip.MustParseAddrPort(server.Listener.Addr().String())
	fleet.restartUpstreams()
	return fleet
}

// restartUpstreams replaces the processes of all upstreams.
func (wordfleet *wordFleet) restartUpstreams() {
	wordfleet.born++
	wordfleet.updateUpstreams()
}

// updateUpstreams tells the host again which upstreams there are.
func (wordfleet *wordFleet) updateUpstreams() {
	wordfleet.version++
	var targets []admit.Target
	var changes []spans.Change
	for number := range wordUpstreams {
		owner := spans.Owner{ID: fmt.Sprint("up-", number), Born: wordfleet.born}
		targets = append(targets, admit.Target{
			Owner: owner, Service: "jobs", Keyed: true, Slots: 2, DataCentre: "here", Address: wordfleet.address,
		})
		changes = append(changes, spans.Change{From: uint16(number * wordKeys), To: uint16((number+1)*wordKeys - 1), Owner: owner})
	}
	table, err := spans.Table{}.Apply(wordfleet.version, changes)
	if err != nil {
		wordfleet.t.Fatal(err)
	}
	wordfleet.relay.Scheduler.Update("jobs", targets, table)
}

// ServeHTTP answers for all upstreams.
func (wordfleet *wordFleet) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	wordfleet.mutex.Lock()
	defer wordfleet.mutex.Unlock()
	upstream, now := request.Header.Get("Upstream"), wordfleet.clock.Now()
	wordfleet.arrivals[upstream] = append(wordfleet.arrivals[upstream], now)
	told := wordfleet.toldAt[upstream]
	switch {
	case wordfleet.resting[upstream]:
		writer.Header().Set("Rest", strconv.Itoa(int(restTime/time.Second)))
		writer.Header().Set("Not-Run", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		if len(told) == 0 || now.Sub(told[len(told)-1]) >= restTime {
			wordfleet.toldAt[upstream] = append(told, now)
		}
	case wordfleet.leaving[upstream]:
		writer.Header().Set("Leaving", "1")
		if len(told) == 0 {
			wordfleet.toldAt[upstream] = append(told, now)
		}
	}
}

// arrivalsBetween counts the requests that reached an upstream in a span of time.
func (wordfleet *wordFleet) arrivalsBetween(upstream string, from, to time.Time) int {
	count := 0
	for _, at := range wordfleet.arrivals[upstream] {
		if at.After(from) && at.Before(to) {
			count++
		}
	}
	return count
}

// request sends a request for a key of an upstream through the host.
func (wordfleet *wordFleet) request(number, upstream int) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, "http://host/book/x", nil)
	request.Header.Set("Id", strconv.Itoa(number))
	request.Header.Set("Key", "k")
	request.Header.Set("Shard", strconv.Itoa(upstream*wordKeys+number%wordKeys))
	recorder := httptest.NewRecorder()
	wordfleet.relay.ServeHTTP(recorder, request)
	return recorder
}

// TestRestingUpstreamsGetNothing guards against upstreams that ask a host for rest and go
// on getting its requests. Callers of their keys are told at once when to come back.
func TestRestingUpstreamsGetNothing(t *testing.T) {
	is := is.New(t)
	fleet := newWordFleet(t)
	fleet.resting["up-0"], fleet.resting["up-1"] = true, true
	for number := range int(10 * time.Second / restStep) {
		now, target := fleet.clock.Now(), number%wordUpstreams
		if told := fleet.toldAt[fmt.Sprint("up-", target)]; len(told) > 0 {
			if left := told[len(told)-1].Add(restTime).Sub(now); left > 0 && left < wordTimeout {
				fleet.clock.Advance(restStep)
				continue // the request would wait, and nothing advances the clock meanwhile
			}
		}
		recorder := fleet.request(number, target)
		told := fleet.toldAt[fmt.Sprint("up-", target)]
		if len(told) == 0 {
			is.Equal(recorder.Code, http.StatusOK)
		} else {
			is.Equal(recorder.Code, http.StatusServiceUnavailable)
			retryAfter, err := strconv.ParseFloat(recorder.Header().Get("Retry-After"), 64)
			is.NoErr(err)
			end := told[len(told)-1].Add(restTime)
			is.True(now.Add(time.Duration(retryAfter*float64(time.Second))).Compare(end) >= 0)
		}
		fleet.clock.Advance(restStep)
	}
	for upstream := range fleet.resting {
		is.True(len(fleet.toldAt[upstream]) >= 3) // it is tried again after its rest
		for _, at := range fleet.toldAt[upstream] {
			got := fleet.arrivalsBetween(upstream, at.Add(restNotice), at.Add(restTime))
			t.Logf("%s got %d requests in its rest", upstream, got)
			is.True(got <= restSlack)
		}
	}
}
