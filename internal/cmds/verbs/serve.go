package verbs

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"damaskcrank.example/damaskcrank/internal/base/conf"
	"damaskcrank.example/damaskcrank/internal/base/heap"
	"damaskcrank.example/damaskcrank/internal/base/logs"
	"damaskcrank.example/damaskcrank/internal/entry/front"
	"damaskcrank.example/damaskcrank/internal/fleet/host"
)

const (
	secretName  = "secret"
	secretBytes = 32
	folderMode  = 0o700
	fileMode    = 0o600
)

type serveCommand struct {
	Settings string        `help:"The settings file. Without it the embedded default runs." placeholder:"FILE" short:"s"`
	Grace    time.Duration `default:"30s" help:"How long a shutdown may take."`
}

// Run runs a host until it gets SIGINT or SIGTERM, then shuts it down gracefully.
// It fails if the host's control node ends by itself.
func (servecommand *serveCommand) Run(streams *Streams) error {
	settings, err := servecommand.load(streams)
	if err != nil {
		return err
	}
	secret, err := conf.ReadSecret(settings.Peer.SecretFile)
	if err != nil {
		return Error.New("read cluster secret: %w", err)
	}
	logger, err := logs.New(os.Stderr, settings.Log.Level, logs.Format(settings.Log.Format))
	if err != nil {
		return Error.New("set up log: %w", err)
	}
	if size, err := heap.Size(settings.Host.Memory); err == nil {
		heap.Limit(size)
	}
	running, err := host.Start(host.Options{
		Settings: settings, Secret: secret, Clock: clockwork.NewRealClock(), Log: logger,
	})
	if err != nil {
		return Error.New("start host: %w", err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-running.Done():
		running.Kill()
		return Error.New("the control node stopped; see the log for the cause")
	}
	ctx, cancel := context.WithTimeout(context.Background(), servecommand.Grace)
	defer cancel()
	if err := running.Stop(ctx); err != nil {
		return Error.New("stop host: %w", err)
	}
	return nil
}

func (servecommand *serveCommand) load(streams *Streams) (conf.Settings, error) {
	if servecommand.Settings == "" {
		return embeddedSettings(streams)
	}
	settings, err := conf.Load(servecommand.Settings)
	if err != nil {
		return conf.Settings{}, Error.New("%w", err)
	}
	return settings, nil
}

// embeddedSettings returns the settings of the embedded default and prints its
// addresses. The cluster secret and the operator's token are files in the data
// folder, which are created if they do not exist.
func embeddedSettings(streams *Streams) (conf.Settings, error) {
	settings := conf.Default()
	folder := settings.Host.DataFolder
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return conf.Settings{}, Error.New("create data folder: %w", err)
	}
	settings.Peer.SecretFile = filepath.Join(folder, secretName)
	if _, err := loadOrCreateSecret(settings.Peer.SecretFile); err != nil {
		return conf.Settings{}, err
	}
	token, err := loadOrCreateSecret(filepath.Join(folder, tokenName))
	if err != nil {
		return conf.Settings{}, err
	}
	settings.Operator.Tokens = []conf.Token{{Name: "local", Hash: front.HashSecret(token)}}
	_, _ = fmt.Fprintf(streams.Err, "callers: http://%s  operators: http://%s  token: %s\n",
		settings.Caller.Address, settings.Operator.Address, filepath.Join(folder, tokenName))
	return settings, nil
}

// loadOrCreateSecret returns the secret in a file. If the file does not exist, it
// creates it with a new secret, readable by its owner only.
func loadOrCreateSecret(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err == nil {
		return string(data), nil
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return "", Error.New("read %s: %w", path, err)
	}
	text, err := randomHex()
	if err != nil {
		return "", err
	}
	if err := os.WriteFile(path, []byte(text), fileMode); err != nil {
		return "", Error.New("write %s: %w", path, err)
	}
	return text, nil
}

// randomHex returns secretBytes random bytes in hexadecimal.
func randomHex() (string, error) {
	random := make([]byte, secretBytes)
	if _, err := rand.Read(random); err != nil {
		return "", Error.New("generate random bytes: %w", err)
	}
	return hex.EncodeToString(random), nil
}
