package direct

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/base/conf"
	"damaskcrank.example/damaskcrank/internal/base/stats"
	"damaskcrank.example/damaskcrank/internal/control/group"
	"damaskcrank.example/damaskcrank/internal/control/items"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

// longTimeout is far longer than any change of a control host on loopback takes.
const longTimeout = time.Minute

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // only reserves a port
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// startTestControl starts a control host that forms a group of its own, and waits until it
// leads.
func startTestControl(t *testing.T) *Control {
	t.Helper()
	return startLoggingControl(t, &log.Logger{Handler: discard.New()})
}

func startLoggingControl(t *testing.T, logger log.Interface) *Control {
	t.Helper()
	peer := freeAddress(t)
	settings := conf.DirectSettings{
		Host:   conf.DirectHost{Name: "core", DataCentre: "here", DataFolder: t.TempDir(), FirstStart: true},
		Listen: conf.DirectListen{Control: freeAddress(t).String()},
		Peer:   conf.DirectPeer{Address: peer, Seeds: []netip.AddrPort{peer}, Secret: "a secret of test hosts"},
	}
	control, err := StartControl(Options{
		Settings: settings, Reload: func() (conf.DirectSettings, error) { return settings, nil },
		Clock: clockwork.NewRealClock(), Log: logger, Stats: &stats.Set{},
	}, func(*Control) http.Handler { return http.NotFoundHandler() })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(control.Kill)
	deadline := time.After(longTimeout)
	for !control.node.HoldsLease() {
		select {
		case <-deadline:
			t.Fatal("the control host does not lead")
		case <-control.options.Clock.After(tickInterval):
		}
	}
	return control
}

// wholeConfiguration returns a service and a number of its routes, all under the version but
// one that has the next one.
func wholeConfiguration(routes int, version uint64, changed int) []items.Item {
	changes := []items.Item{{Kind: items.KindService, Name: "jobs", Version: version, Source: []byte("{}"), Service: &items.Service{}}}
	for number := range routes {
		of := version
		if number == changed {
			of++
		}
		name := fmt.Sprintf("r-%06d", number)
		changes = append(changes, items.Item{
			Kind: items.KindRoute, Name: name, Version: of, Source: fmt.Appendf(nil, "%-100s", name+fmt.Sprint(of)),
			Route: &items.Route{Host: "host", Prefix: "/" + name + "/", Timeout: time.Second, Attempts: 1, Split: []items.WeightedService{{Service: "jobs", Weight: 1}}},
		})
	}
	return changes
}

func (control *Control) logSize(t *testing.T) int64 {
	t.Helper()
	info, err := os.Stat(filepath.Join(control.options.Settings.Host.DataFolder, "log"))
	if err != nil {
		t.Fatal(err)
	}
	return info.Size()
}

// TestLargeChanges guards against control hosts that run out of memory, and can't start any
// more, after a few hundred changes of an operator who sends the whole configuration with
// each: whether most of it is unchanged or nothing can be left out.
func TestLargeChanges(t *testing.T) {
	const routes, changes = 700, 100
	cases := []struct {
		name string
		// change returns the configuration that a change carries.
		change func(number int) []items.Item
		// bound is that of the log in bytes.
		bound int64
	}{
		{"one route changes", func(number int) []items.Item { return wholeConfiguration(routes, 1, number) }, changes * 4 << 10},
		{"all versions rise", func(number int) []items.Item { return wholeConfiguration(routes, uint64(number+2), -1) }, 12 << 20},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			control := startTestControl(t)
			ctx, cancel := context.WithTimeout(t.Context(), longTimeout)
			defer cancel()
			_, err := control.PutItems(ctx, wholeConfiguration(routes, 1, -1))
			is.NoErr(err)
			before := control.logSize(t)
			for number := range changes {
				result, err := control.PutItems(ctx, testcase.change(number))
				is.NoErr(err)
				is.Equal(result.Outcome, state.OutcomeDone)
			}
			is.True(control.logSize(t)-before <= testcase.bound)
			inForce, err := control.Items(ctx)
			is.NoErr(err)
			is.Equal(len(inForce), routes+1)
			resent, err := control.PutItems(ctx, testcase.change(changes-1))
			is.NoErr(err)
			is.Equal(resent.Outcome, state.OutcomeResent)
		})
	}
}

// TestConfigurationIsBounded guards against control hosts that accept more than they can
// hold: what would be too large is refused, and what was acknowledged stays.
func TestConfigurationIsBounded(t *testing.T) {
	is := is.New(t)
	control := startTestControl(t)
	ctx, cancel := context.WithTimeout(t.Context(), longTimeout)
	defer cancel()
	_, err := control.PutItems(ctx, wholeConfiguration(10, 1, -1))
	is.NoErr(err)
	_, err = control.PutItems(ctx, wholeConfiguration(items.MaxBytes/100, 2, -1))
	is.True(errors.Is(err, ErrTooLarge))
	inForce, err := control.Items(ctx)
	is.NoErr(err)
	is.Equal(len(inForce), 11)
	is.Equal(inForce[0].Version, uint64(1))
}

// TestBodiesOfCallsAreBounded guards against calls with long bodies that together take the
// memory of a control host.
func TestBodiesOfCallsAreBounded(t *testing.T) {
	is := is.New(t)
	const fitting = maxBodiesBytes / maxCallBytes
	var limited bodies
	// A call calls the next while it holds its own body.
	var nested http.Handler
	var errs []error
	nested = limited.limit(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		_, err := io.Copy(io.Discard, request.Body)
		errs = append(errs, err)
		if len(errs) <= fitting {
			nested.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(make([]byte, maxCallBytes))))
		}
	}))
	nested.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(make([]byte, maxCallBytes))))
	for _, err := range errs[:fitting] {
		is.NoErr(err)
	}
	is.True(errors.Is(errs[fitting], ErrBusy))
	is.Equal(limited.held.Total(), 0)
	long := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", maxCallBytes+1)))
	nested.ServeHTTP(httptest.NewRecorder(), long)
	var maxBytesErr *http.MaxBytesError
	is.True(errors.As(errs[fitting+1], &maxBytesErr))
}

// TestServiceInUseIsNotDeleted guards against a change that is acknowledged although it leaves
// a route without its service.
func TestServiceInUseIsNotDeleted(t *testing.T) {
	is := is.New(t)
	control := startTestControl(t)
	ctx, cancel := context.WithTimeout(t.Context(), longTimeout)
	defer cancel()
	_, err := control.PutItems(ctx, wholeConfiguration(1, 1, -1))
	is.NoErr(err)
	gone := []items.Item{{Kind: items.KindService, Name: "jobs", Version: 2, Deleted: true}}
	result, err := control.PutItems(ctx, gone)
	is.NoErr(err)
	is.Equal(result.Outcome, state.OutcomeInvalid)
	is.Equal(len(control.node.Catalog().Items.Active()), 2)
	result, err = control.PutItems(ctx, append(gone, items.Item{Kind: items.KindRoute, Name: "r-000000", Version: 2, Deleted: true}))
	is.NoErr(err)
	is.Equal(result.Outcome, state.OutcomeDone)
	is.Equal(len(control.node.Catalog().Items.Active()), 0)
}

// TestRouteToDeletedService guards against a route whose service is gone (review case 7): one
// operator deletes a service that no route names, and another adds a route to it at the same time.
// Exactly one of the two must be acknowledged, and the other refused.
func TestRouteToDeletedService(t *testing.T) {
	const pairs = 40
	is := is.New(t)
	control := startTestControl(t)
	ctx, cancel := context.WithTimeout(t.Context(), longTimeout)
	defer cancel()
	for pair := range pairs {
		whole := wholeConfiguration(1, uint64(pair+1), -1)
		whole[0].Name = fmt.Sprintf("jobs-%d", pair)
		whole[1].Route.Split[0].Service = whole[0].Name
		_, err := control.PutItems(ctx, whole[:1])
		is.NoErr(err)
		gone := items.Item{Kind: items.KindService, Name: whole[0].Name, Version: whole[0].Version + 1, Deleted: true}
		outcomes := map[state.Outcome]int{}
		var mutex sync.Mutex
		var tasks sync.WaitGroup
		for _, change := range []items.Item{gone, whole[1]} {
			tasks.Go(func() {
				result, err := control.PutItems(ctx, []items.Item{change})
				mutex.Lock()
				defer mutex.Unlock()
				if err == nil {
					outcomes[result.Outcome]++
				}
			})
		}
		tasks.Wait()
		is.Equal(outcomes, map[state.Outcome]int{state.OutcomeDone: 1, state.OutcomeInvalid: 1})
	}
}

// TestServicesAreKeptUnderFormerLeader guards against a service that is deleted although the
// leader is of a version that may commit a route to it meanwhile, and against other changes that
// wait for the upgrade to end.
func TestServicesAreKeptUnderFormerLeader(t *testing.T) {
	control := startTestControl(t)
	whole := wholeConfiguration(1, 1, -1)
	_, err := control.PutItems(t.Context(), whole)
	is.New(t).NoErr(err)
	desk := items.Item{Kind: items.KindService, Name: "desk", Version: 1, Source: []byte("{}"), Service: &items.Service{}}
	gone := items.Item{Kind: items.KindService, Name: "jobs", Version: 2, Deleted: true}
	cases := []struct {
		name    string
		ticket  group.Ticket
		changes []items.Item
		want    state.Outcome
		err     error
	}{
		{"deletion, former leader", group.Ticket{Term: 1}, []items.Item{gone}, "", ErrLeaderOutdated},
		{"deletion, leader without tickets", group.Ticket{}, []items.Item{gone}, "", ErrLeaderOutdated},
		{"deletion of a service in use", group.Ticket{Term: 1, GuardsServices: true}, []items.Item{gone}, state.OutcomeInvalid, nil},
		{"other change, former leader", group.Ticket{Term: 1}, []items.Item{desk}, "", nil},
		{"too large, former leader", group.Ticket{Term: 1}, wholeConfiguration(items.MaxBytes/100, 2, -1), state.OutcomeTooLarge, nil},
	}
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			result, err := control.judge(t.Context(), testcase.ticket, testcase.changes)
			is.True(errors.Is(err, testcase.err))
			is.Equal(result.Outcome, testcase.want)
		})
	}
}

// TestEachChangeIsLogged guards against changes of the configuration without a log line, as
// they are answered without being committed: without effect, or invalid.
func TestEachChangeIsLogged(t *testing.T) {
	is := is.New(t)
	var mutex sync.Mutex
	var outcomes []string
	handler := log.HandlerFunc(func(entry *log.Entry) error {
		mutex.Lock()
		defer mutex.Unlock()
		if entry.Message == logPrefix+"processed a configuration change" {
			outcomes = append(outcomes, fmt.Sprint(entry.Fields.Get("outcome")))
		}
		return nil
	})
	control := startLoggingControl(t, &log.Logger{Handler: handler, Level: log.InfoLevel})
	ctx, cancel := context.WithTimeout(t.Context(), longTimeout)
	defer cancel()
	invalid := wholeConfiguration(1, 2, -1)
	invalid[1].Route.Timeout = 0
	for _, changes := range [][]items.Item{wholeConfiguration(1, 1, -1), wholeConfiguration(1, 1, -1), invalid} {
		_, err := control.PutItems(ctx, changes)
		is.NoErr(err)
	}
	mutex.Lock()
	defer mutex.Unlock()
	is.Equal(outcomes, []string{string(state.OutcomeDone), string(state.OutcomeResent), string(state.OutcomeInvalid)})
}
