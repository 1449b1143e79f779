package direct

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"slices"

	"damaskcrank.example/damaskcrank/internal/base/budget"
	"damaskcrank.example/damaskcrank/internal/base/conf"
	"damaskcrank.example/damaskcrank/internal/base/heap"
	"damaskcrank.example/damaskcrank/internal/base/intake"
	"damaskcrank.example/damaskcrank/internal/base/sock"
	"damaskcrank.example/damaskcrank/internal/control/group"
)

const (
	// headParts is the divisor of the memory that yields the budget for heads and connections.
	// The rest is for bodies, for all else and for garbage.
	headParts = 4
	// heldParts is the divisor of the memory that yields the bound of heads and requests' bodies
	// together.
	heldParts = 2
	// unreadParts is the divisor of the memory that yields the bound of unread answers.
	unreadParts = 6
	// messageParts is the divisor of the memory that yields the bound of messages between hosts and
	// control hosts that are being received.
	messageParts = 4
	// bufferedParts is the divisor of the memory that yields the bound of responses that are
	// being read, which is maxBufferedBytes at most.
	bufferedParts    = 4
	maxBufferedBytes = 64 << 20
)

// withBudget returns the options with the budget of all listeners.
func (options Options) withBudget() Options {
	if options.heads == nil {
		options.memory, _ = heap.Size(options.Settings.Host.Memory) // an error is logged at the start
		options.heads = budget.New(options.memory/headParts, options.Clock)
	}
	return options
}

// server is an HTTP server and the listener that it drains.
type server struct {
	*http.Server

	listener *intake.Listener
}

// Drain ends the server without cutting off requests. It returns an error if the context ends
// before the last one is answered.
func (server *server) Drain(ctx context.Context) error {
	if err := server.listener.Drain(ctx); err != nil {
		return Error.New("end the HTTP server: %w", err)
	}
	return nil
}

// serveHTTP listens on the address and serves the handler until the server is closed. The
// limits may be nil.
func serveHTTP(name, address string, handler http.Handler, options Options, limits func() intake.Limits) (*server, error) {
	options = options.withBudget()
	accepted, err := intake.Listen(context.Background(), address)
	if err != nil {
		return nil, Error.New("%w", err)
	}
	if err := setSendBuffer(accepted, options.sendBuffer); err != nil {
		return nil, err
	}
	listener := intake.Wrap(accepted, intake.Options{
		Name: name, Budget: options.heads, Limits: limits, Clock: options.Clock, Log: options.Log, Stats: options.Stats,
	})
	//nolint:gosec // Configure sets the time limit of heads
	server := &server{Server: &http.Server{Handler: handler, ConnContext: withConn, ErrorLog: stdlog.New(io.Discard, "", 0)}, listener: listener}
	listener.Configure(server.Server)
	go func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			options.Log.WithError(err).Errorf(logPrefix+"the HTTP server on %s failed", address)
		}
	}()
	return server, nil
}

// setSendBuffer sets the send buffer of the connections that a listener accepts, unless the
// size is 0.
func setSendBuffer(listener net.Listener, size int) error {
	tcp, ok := listener.(*net.TCPListener)
	if !ok || size <= 0 {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err == nil {
		err = sock.SetSendBuffer(size)("tcp", listener.Addr().String(), raw)
	}
	if err != nil {
		return Error.New("set the send buffer of %s: %w", listener.Addr(), err)
	}
	return nil
}

// serveMetrics serves the host's metrics if the settings give an address for them.
func serveMetrics(options Options) (*server, error) {
	if options.Settings.Listen.Metrics == "" {
		return nil, nil //nolint:nilnil // metrics are not served
	}
	handler := http.NewServeMux()
	handler.HandleFunc("GET /metrics", func(writer http.ResponseWriter, _ *http.Request) {
		options.Stats.Write(writer)
	})
	return serveHTTP("metrics", options.Settings.Listen.Metrics, handler, options, nil)
}

// watchSettings reads the settings file periodically and adds new control hosts to
// the client.
func watchSettings(ctx context.Context, options Options, client *group.Client) {
	current := options.Settings
	for {
		select {
		case <-ctx.Done():
			return
		case <-options.Clock.After(settingsPollInterval):
		}
		current = reloadSettings(options, client, current)
	}
}

// reloadSettings reads the settings file and returns the settings now in force: the
// current ones if the file can't be read or lists the same control hosts.
func reloadSettings(options Options, client *group.Client, current conf.DirectSettings) conf.DirectSettings {
	next, err := options.Reload()
	if err != nil {
		options.Log.WithError(err).Warn(logPrefix + "reloading the settings failed, keeping the current ones")
		return current
	}
	if slices.Equal(next.Peer.Seeds, current.Peer.Seeds) {
		return current
	}
	client.AddHosts(next.ControlHosts())
	options.Log.WithField("seeds", next.Peer.Seeds).Info(logPrefix + "settings changed")
	return next
}
