// Package conf loads a host's settings from a TOML file and validates them.
package conf

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("settings")

// Settings holds a host's settings, by section.
type Settings struct {
	Host     Host     `toml:"host"`
	Caller   Caller   `toml:"caller"`
	Operator Operator `toml:"operator"`
	Peer     Peer     `toml:"peer"`
	Control  Control  `toml:"control"`
	Log      Log      `toml:"log"`
}

// Host identifies the host and its location.
type Host struct {
	Name       string `toml:"name"`
	DataCentre string `toml:"dataCentre"`
	DataFolder string `toml:"dataFolder"`
	// Memory is the machine's memory in MiB that the process may use, 0 if it is all that the
	// machine has.
	Memory int64 `toml:"memory"`
}

// Caller configures the listener for callers' requests. Callers use TLS if both
// TLS files are set.
type Caller struct {
	Address        netip.AddrPort `toml:"address"`
	TLSCertificate string         `toml:"tlsCertificate"`
	TLSKey         string         `toml:"tlsKey"`
}

// Operator configures the listener for operators, upstreams and the load
// balancer's health check.
type Operator struct {
	Address netip.AddrPort `toml:"address"`
	Tokens  []Token        `toml:"tokens"`
}

// Token authenticates an operator. Hash is the token's SHA-256 in hexadecimal.
type Token struct {
	Name string `toml:"name"`
	Hash string `toml:"hash"`
}

// Peer configures the listener for other hosts of the cluster.
type Peer struct {
	Address netip.AddrPort `toml:"address"`
	// SecretFile is the path of the file with the cluster secret.
	SecretFile string `toml:"secretFile"`
}

// Control configures the control group and this host's part in it.
type Control struct {
	// Enabled makes this host a control host.
	Enabled bool           `toml:"enabled"`
	Address netip.AddrPort `toml:"address"`
	// Hosts are the control addresses of all control hosts.
	Hosts []netip.AddrPort `toml:"hosts"`
	// HeartbeatAddresses are the peer addresses of all control hosts, in the order
	// of Hosts. Heartbeats are sent to them.
	HeartbeatAddresses []netip.AddrPort `toml:"heartbeats"`
	// SnapshotEvery is the number of log entries between two snapshots.
	SnapshotEvery uint64 `toml:"snapshotEvery"`
}

// Log configures the log's level and format.
type Log struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

// mustBeSet is the error message for an empty required field.
const mustBeSet = "must be set"

// mustNotBeNegative is the error message for a number below 0.
const mustNotBeNegative = "must not be below 0"

const (
	minSecretLength = 16
	hashBytes       = 32
	defaultLevel    = "info"
	defaultFormat   = "auto"
)

// Default returns built-in settings for a single host on loopback that is both
// entry and control host.
func Default() Settings {
	control := netip.MustParseAddrPort("127.0.0.1:7403")
	peer := netip.MustParseAddrPort("127.0.0.1:7402")
	return Settings{
		Host:     Host{Name: "local", DataCentre: "local", DataFolder: "damaskcrank-data"},
		Caller:   Caller{Address: netip.MustParseAddrPort("127.0.0.1:7400")},
		Operator: Operator{Address: netip.MustParseAddrPort("127.0.0.1:7401")},
		Peer:     Peer{Address: peer},
		Control: Control{
			Enabled: true, Address: control,
			Hosts: []netip.AddrPort{control}, HeartbeatAddresses: []netip.AddrPort{peer},
		},
		Log: Log{Level: defaultLevel, Format: defaultFormat},
	}
}

// Load reads and validates a settings file. Errors about its content name the
// file, line and field.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Error.New("read: %w", err)
	}
	settings := Settings{Log: Log{Level: defaultLevel, Format: defaultFormat}}
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil {
		return Settings{}, Error.New("%s", describe(path, err))
	}
	if fielderror := settings.check(); fielderror != nil {
		return Settings{}, Error.New("%s:%d: %s", path, locate(data, fielderror.field), fielderror.Error())
	}
	return settings, nil
}

// describe formats a decoding error as file, line, field and cause.
func describe(path string, err error) string {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := unknown.Errors[0]
		line, _ := first.Position()
		return fmt.Sprintf("%s:%d: %s: unknown field", path, line, strings.Join(first.Key(), "."))
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		return fmt.Sprintf("%s:%d: %s: %s", path, line, strings.Join(decode.Key(), "."), decode.Error())
	}
	return path + ": " + err.Error()
}

// fieldError describes an invalid setting.
type fieldError struct {
	field string
	cause string
}

// Error returns the field's name and the cause.
func (fielderror *fieldError) Error() string { return fielderror.field + ": " + fielderror.cause }

// check returns the first invalid setting, or nil.
func (settings Settings) check() *fieldError {
	for _, check := range []func() *fieldError{
		settings.checkHost, settings.checkAddresses, settings.checkCaller, settings.checkOperator,
		settings.checkSecret, settings.checkControl, settings.checkLog,
	} {
		if fielderror := check(); fielderror != nil {
			return fielderror
		}
	}
	return nil
}

func (settings Settings) checkHost() *fieldError {
	if settings.Host.Name == "" || strings.ContainsAny(settings.Host.Name, "#/ ") {
		return &fieldError{"host.name", "must be set and contain no '#', '/' or space"}
	}
	if settings.Host.DataCentre == "" {
		return &fieldError{"host.dataCentre", mustBeSet}
	}
	if settings.Host.Memory < 0 {
		return &fieldError{"host.memory", mustNotBeNegative}
	}
	return nil
}

func (settings Settings) checkAddresses() *fieldError {
	for _, entry := range []struct {
		field   string
		address netip.AddrPort
	}{
		{"caller.address", settings.Caller.Address},
		{"operator.address", settings.Operator.Address},
		{"peer.address", settings.Peer.Address},
	} {
		if !validEndpoint(entry.address) {
			return &fieldError{entry.field, "must be an IP address and a port, such as 10.0.0.1:7400"}
		}
	}
	if settings.Peer.Address.Addr().IsUnspecified() {
		return &fieldError{"peer.address", "other hosts connect to it, so it can't be unspecified"}
	}
	return nil
}

func validEndpoint(address netip.AddrPort) bool { return address.IsValid() && address.Port() != 0 }

func (settings Settings) checkCaller() *fieldError {
	caller := settings.Caller
	if (caller.TLSCertificate == "") != (caller.TLSKey == "") {
		return &fieldError{"caller.tlsCertificate", "certificate and key must be set together"}
	}
	for _, path := range []string{caller.TLSCertificate, caller.TLSKey} {
		if path == "" {
			continue
		}
		if _, err := os.Stat(path); err != nil {
			return &fieldError{"caller.tlsCertificate", "file " + path + " can't be read"}
		}
	}
	return nil
}

func (settings Settings) checkOperator() *fieldError {
	for _, token := range settings.Operator.Tokens {
		hash, err := hex.DecodeString(token.Hash)
		if token.Name == "" || err != nil || len(hash) != hashBytes {
			return &fieldError{"operator.tokens", "each token needs a name and a SHA-256 in hexadecimal"}
		}
	}
	return nil
}

func (settings Settings) checkSecret() *fieldError {
	if settings.Peer.SecretFile == "" {
		return &fieldError{"peer.secretFile", mustBeSet}
	}
	if _, err := ReadSecret(settings.Peer.SecretFile); err != nil {
		return &fieldError{"peer.secretFile", err.Error()}
	}
	return nil
}

func (settings Settings) checkControl() *fieldError {
	control := settings.Control
	if len(control.Hosts) == 0 {
		return &fieldError{"control.hosts", "must list the control hosts"}
	}
	if len(control.HeartbeatAddresses) != len(control.Hosts) {
		return &fieldError{"control.heartbeats", "must list one peer address for each control host"}
	}
	for _, address := range append(append([]netip.AddrPort(nil), control.Hosts...), control.HeartbeatAddresses...) {
		if !validEndpoint(address) || address.Addr().IsUnspecified() {
			return &fieldError{"control.hosts", fmt.Sprintf("%s is not an address that other hosts can reach", address)}
		}
	}
	if !control.Enabled {
		return nil
	}
	if !validEndpoint(control.Address) {
		return &fieldError{"control.address", "must be an IP address and a port on a control host"}
	}
	folder := settings.Host.DataFolder
	if folder == "" {
		return &fieldError{"host.dataFolder", "must be set on a control host"}
	}
	info, err := os.Stat(folder)
	if err != nil || !info.IsDir() {
		return &fieldError{"host.dataFolder", "folder " + folder + " does not exist"}
	}
	return nil
}

func (settings Settings) checkLog() *fieldError {
	switch settings.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		return &fieldError{"log.level", "must be debug, info, warn or error"}
	}
	switch settings.Log.Format {
	case "auto", "text", "json":
		return nil
	default:
		return &fieldError{"log.format", "must be auto, text or json"}
	}
}

// ReadSecret reads the cluster secret from a file, without surrounding
// whitespace. It fails if the secret is shorter than minSecretLength bytes.
func ReadSecret(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.New("read %s: %w", filepath.Base(path), err)
	}
	secret := bytes.TrimSpace(data)
	if len(secret) < minSecretLength {
		return nil, Error.New("the secret has %d bytes, but needs at least %d", len(secret), minSecretLength)
	}
	return secret, nil
}

// locate returns the line of a field such as "host.name". If the field is
// missing it returns the line of its section's header, and if that is missing
// too, 1.
func locate(data []byte, field string) int {
	wantedSection, wantedName, _ := strings.Cut(field, ".")
	section, line := "", 1
	for number, text := range strings.Split(string(data), "\n") {
		text = strings.TrimSpace(text)
		if strings.HasPrefix(text, "[") {
			section = strings.Trim(text, "[] ")
			if section == wantedSection {
				line = number + 1
			}
			continue
		}
		name, _, ok := strings.Cut(text, "=")
		if ok && section == wantedSection && strings.TrimSpace(name) == wantedName {
			return number + 1
		}
	}
	return line
}
