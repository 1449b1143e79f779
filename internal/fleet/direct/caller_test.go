package direct

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/items"
	"damaskcrank.example/damaskcrank/internal/control/spans"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

// callOf returns the context of a call on a connection, and the client's end of it.
func callOf(t *testing.T) (context.Context, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	served, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = client.Close()
		_ = served.Close()
	})
	return withConn(t.Context(), served), client
}

// TestOrdersOfClientsThatLeft guards against a copy of an order that lay in the socket of a
// host that stood still, and is carried out when it wakes: the client has given it up, and an
// order that it gave elsewhere was acknowledged since.
func TestOrdersOfClientsThatLeft(t *testing.T) {
	control := startTestControl(t)
	service := items.Item{Kind: items.KindService, Name: "jobs", Version: 1, Source: []byte("{}"), Service: &items.Service{}}
	cases := []struct {
		name string
		// leaves is when the client closes its connection, counted from the order. A time
		// below 0 means before, and 0 never.
		leaves time.Duration
		order  func(ctx context.Context) error
		// done reports whether the order was carried out.
		done func(catalog *state.Catalog) bool
	}{
		{"evacuation, before", -1, func(ctx context.Context) error { return control.SetEvacuated(ctx, "a", true) }, evacuated("a", true)},
		{"evacuation, on the way", settleTime / 4, func(ctx context.Context) error { return control.SetEvacuated(ctx, "b", true) }, evacuated("b", true)},
		{"evacuation, client waits", 0, func(ctx context.Context) error { return control.SetEvacuated(ctx, "c", true) }, evacuated("c", true)},
		{"end of the evacuation, before", -1, func(ctx context.Context) error { return control.SetEvacuated(ctx, "c", false) }, evacuated("c", false)},
		{"end of the evacuation, client waits", 0, func(ctx context.Context) error { return control.SetEvacuated(ctx, "c", false) }, evacuated("c", false)},
		{"configuration, before", -1, func(ctx context.Context) error {
			_, err := control.PutItems(ctx, []items.Item{service})
			return err
		}, func(catalog *state.Catalog) bool { return len(catalog.Items.Items) > 0 }},
		{"deregistration, before", -1, func(ctx context.Context) error { return control.Deregister(ctx, spans.Owner{ID: "up", Born: 1}) }, draining},
		{"deregistration by ID, before", -1, func(ctx context.Context) error { return control.Deregister(ctx, spans.Owner{ID: "up"}) }, draining},
		{"deregistration of an earlier process, client waits", -2, func(context.Context) error {
			ctx, _ := callOf(t)
			if err := control.Deregister(ctx, spans.Owner{ID: "up", Born: 1}); err != nil {
				return err
			}
			return ErrCallerLeft // it is acknowledged, and has no effect
		}, draining},
		{"deregistration by ID, client waits", 0, func(ctx context.Context) error { return control.Deregister(ctx, spans.Owner{ID: "up"}) }, draining},
	}
	is.New(t).NoErr(register(control))
	for _, testcase := range cases {
		t.Run(testcase.name, func(t *testing.T) {
			is := is.New(t)
			ctx, client := callOf(t)
			ctx, cancel := context.WithTimeout(ctx, longTimeout)
			defer cancel()
			switch {
			case testcase.leaves < 0:
				is.NoErr(client.Close())
				_, err := ctx.Value(connKey{}).(net.Conn).Read(make([]byte, 1))
				is.True(err != nil) // the close has arrived
			case testcase.leaves > 0:
				time.AfterFunc(testcase.leaves, func() { _ = client.Close() })
			}
			err := testcase.order(ctx)
			if testcase.leaves == 0 {
				is.NoErr(err)
				is.True(testcase.done(control.node.Catalog()))
				return
			}
			is.True(errors.Is(err, ErrCallerLeft))
			is.True(!testcase.done(control.node.Catalog()))
		})
	}
}

func evacuated(dataCentre string, want bool) func(*state.Catalog) bool {
	return func(catalog *state.Catalog) bool {
		_, found := catalog.Evacuated[dataCentre]
		return found == want
	}
}

func draining(catalog *state.Catalog) bool { return catalog.Instances["up"].Draining }

// register registers the second process of an upstream.
func register(control *Control) error {
	return control.propose(context.Background(), state.RegisterInstance{Instance: state.Instance{ID: "up", Born: 2, Service: "jobs", DataCentre: "here"}})
}
