package direct

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/apex/log"

	"damaskcrank.example/damaskcrank/internal/base/conf"
	"damaskcrank.example/damaskcrank/internal/control/group"
)

const (
	// headTimeout bounds how long a request's head may take.
	headTimeout = 5 * time.Second
	// maxHead bounds a request's head in bytes.
	maxHead = 64 << 10
	// idleTimeout is how long an idle connection is kept. It is longer than the idle
	// time that operators announce to callers.
	idleTimeout = 30 * time.Second
)

// serveHTTP listens on the address and serves until the server is closed.
func serveHTTP(address string, handler http.Handler, logger log.Interface) (*http.Server, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, Error.New("listen on %s: %w", address, err)
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHead,
		ErrorLog: stdlog.New(io.Discard, "", 0),
	}
	go func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			logger.WithError(err).Error(logPrefix + "a listener ended")
		}
	}()
	return server, nil
}

// serveMetrics serves the host's metrics where the settings say so.
func serveMetrics(options Options) (*http.Server, error) {
	if options.Settings.Listen.Metrics == "" {
		return nil, nil //nolint:nilnil // no address, no server
	}
	handler := http.NewServeMux()
	handler.HandleFunc("GET /metrics", func(writer http.ResponseWriter, _ *http.Request) {
		options.Stats.Write(writer)
	})
	return serveHTTP(options.Settings.Listen.Metrics, handler, options.Log)
}

// follow reads the settings again while the process runs, and learns of new
// control hosts.
func follow(ctx context.Context, options Options, client *group.Client) {
	known := options.Settings
	for {
		select {
		case <-ctx.Done():
			return
		case <-options.Clock.After(settingsPoll):
		}
		known = reload(options, client, known)
	}
}

// reload returns the settings in force after a look at the file.
func reload(options Options, client *group.Client, known conf.Direct) conf.Direct {
	next, err := options.Reload()
	if err != nil {
		options.Log.WithError(err).Warn(logPrefix + "the settings can't be read again; the old ones stay")
		return known
	}
	if slices.Equal(next.Peer.Seeds, known.Peer.Seeds) {
		return known
	}
	client.Learn(next.ControlHosts())
	options.Log.WithField("seeds", next.Peer.Seeds).Info(logPrefix + "settings changed")
	return next
}
