package conf

import (
	"bytes"
	"math"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// DirectSettings holds the settings of a host, by section, in a fleet whose entry
// hosts send requests directly to upstreams.
type DirectSettings struct {
	Host   DirectHost   `toml:"host"`
	Listen DirectListen `toml:"listen"`
	Peer   DirectPeer   `toml:"peer"`
	Bounds DirectLimits `toml:"bounds"`
	// DataCentres says what traffic between data centres costs.
	DataCentres DirectCosts `toml:"dataCentres"`
	Log         Log         `toml:"log"`
}

// DirectHost identifies the host and its location.
type DirectHost struct {
	Name       string `toml:"name"`
	DataCentre string `toml:"dataCentre"`
	// DataFolder is the folder in which a control host stores its log.
	DataFolder string `toml:"dataFolder"`
	// FirstStart is set while the whole fleet starts for the first time. Only
	// then may control hosts bootstrap a new control group; otherwise they wait
	// to join the existing one.
	FirstStart bool `toml:"firstStart"`
	// Link is the bandwidth of the host's network link in Mbit/s, 0 if it is not known.
	Link float64 `toml:"link"`
	// Memory is the machine's memory in MiB that the process may use, 0 if it is all that the
	// machine has.
	Memory int64 `toml:"memory"`
}

// DirectCosts weighs traffic between data centres.
type DirectCosts struct {
	// ByteCost is the delay that callers may see so that 1 KB stays in its data centre.
	ByteCost Duration `toml:"byteCost"`
}

// DirectListen holds the addresses on which the host listens. An empty address
// means that the listener is not used.
type DirectListen struct {
	Callers string `toml:"callers"`
	Health  string `toml:"health"`
	Control string `toml:"control"`
	Metrics string `toml:"metrics"`
	// Source is the address from which the host connects to upstreams. If it is unset, the
	// operating system chooses one.
	Source netip.Addr `toml:"source"`
}

// DirectPeer configures connections between hosts of the fleet.
type DirectPeer struct {
	Address netip.AddrPort `toml:"address"`
	// Seeds are the addresses of some control hosts. Only the IP addresses are
	// used, since the peer port is the same on all hosts.
	Seeds []netip.AddrPort `toml:"seeds"`
	// Secret is the shared secret with which hosts of a fleet authenticate each
	// other.
	Secret string `toml:"secret"`
	// ToleratedFailures is the number of simultaneous control host failures that
	// the control group must tolerate.
	ToleratedFailures int `toml:"losses"`
}

// DirectLimits holds the time limits required by the fleet's operators.
type DirectLimits struct {
	// Revoke is the time after which a revoked caller key must be rejected.
	Revoke Duration `toml:"revoke"`
	// Apply is the time within which acknowledged changes of the configuration must be in
	// force.
	Apply Duration `toml:"apply"`
	// Drain is the time after which a leaving upstream must get no more requests.
	Drain Duration `toml:"drain"`
	// Retries is the number of requests that all hosts together may send once more to a
	// service beyond their ratio; 0 means the default.
	Retries int `toml:"retries"`
	// Exposure is the part of the requests to a service that a bad version may get in a
	// rollout. Versions are ignored at 0.
	Exposure float64 `toml:"exposure"`
	// ExposureSlack is the number of requests beyond that part, and Rollback is the time after
	// which a bad version must get no more requests; 0 means the defaults.
	ExposureSlack int      `toml:"exposureSlack"`
	Rollback      Duration `toml:"rollback"`
	// Grace is the time that a process has between the signal to stop and its
	// forced end.
	Grace Duration `toml:"grace"`
}

// Duration is a time.Duration that is written as text in settings, such as "1.5s".
type Duration time.Duration

// UnmarshalText parses a duration. Empty text means 0.
func (duration *Duration) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*duration = 0
		return nil
	}
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return Error.New("duration: %w", err)
	}
	*duration = Duration(parsed)
	return nil
}

const (
	// defaultRevoke and the others apply to limits that are not set.
	defaultRevoke = 5 * time.Second
	defaultApply  = 2 * time.Second
	// defaultRetries suits a dozen hosts.
	defaultRetries = 64
	// defaultByteCost keeps small answers in their data centre unless the wait is noticeable,
	// and answers of 100 KB unless they would be a tenth of a second late.
	defaultByteCost = time.Millisecond
	// defaultExposureSlack is left for requests that are sent before hosts learn of a decision.
	defaultExposureSlack = 50
	defaultRollback      = 5 * time.Second
	defaultDrain         = 2 * time.Second
	defaultGrace         = 6 * time.Second
)

// LoadDirect reads and validates a settings file. Errors about its content name
// the file, line and field.
func LoadDirect(path string) (DirectSettings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return DirectSettings{}, Error.New("read: %w", err)
	}
	directsettings := DirectSettings{Log: Log{Level: defaultLevel}}
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&directsettings); err != nil {
		return DirectSettings{}, Error.New("%s", describe(path, err))
	}
	directsettings.applyDefaults()
	if fielderror := directsettings.check(); fielderror != nil {
		return DirectSettings{}, Error.New("%s:%d: %s", path, locate(data, fielderror.field), fielderror.Error())
	}
	return directsettings, nil
}

func (directsettings *DirectSettings) applyDefaults() {
	for _, bound := range []struct {
		field    *Duration
		fallback time.Duration
	}{
		{&directsettings.Bounds.Revoke, defaultRevoke},
		{&directsettings.Bounds.Apply, defaultApply},
		{&directsettings.Bounds.Drain, defaultDrain},
		{&directsettings.Bounds.Grace, defaultGrace},
		{&directsettings.DataCentres.ByteCost, defaultByteCost},
		{&directsettings.Bounds.Rollback, defaultRollback},
	} {
		if *bound.field <= 0 {
			*bound.field = Duration(bound.fallback)
		}
	}
	if directsettings.Bounds.Retries == 0 {
		directsettings.Bounds.Retries = defaultRetries
	}
	if directsettings.Bounds.ExposureSlack == 0 {
		directsettings.Bounds.ExposureSlack = defaultExposureSlack
	}
}

func (directsettings *DirectSettings) check() *fieldError {
	if directsettings.Host.Name == "" {
		return &fieldError{"host.name", mustBeSet}
	}
	if directsettings.Host.DataCentre == "" {
		return &fieldError{"host.dataCentre", mustBeSet}
	}
	if !validEndpoint(directsettings.Peer.Address) || directsettings.Peer.Address.Addr().IsUnspecified() {
		return &fieldError{"peer.address", "must be an IP address and a port that other hosts reach"}
	}
	if len(directsettings.Peer.Seeds) == 0 {
		return &fieldError{"peer.seeds", "must list control hosts"}
	}
	if len(directsettings.Peer.Secret) < minSecretLength {
		return &fieldError{"peer.secret", "must have 16 characters or more"}
	}
	if fielderror := directsettings.checkNumbers(); fielderror != nil {
		return fielderror
	}
	for _, entry := range []struct{ field, address string }{
		{"listen.callers", directsettings.Listen.Callers}, {"listen.health", directsettings.Listen.Health},
		{"listen.control", directsettings.Listen.Control}, {"listen.metrics", directsettings.Listen.Metrics},
	} {
		if entry.address == "" {
			continue
		}
		if address, err := netip.ParseAddrPort(entry.address); err != nil || !validEndpoint(address) {
			return &fieldError{entry.field, "must be an IP address and a port, such as 10.0.0.1:7400"}
		}
	}
	if directsettings.Listen.Control != "" && strings.TrimSpace(directsettings.Host.DataFolder) == "" {
		return &fieldError{"host.dataFolder", "must be set on a control host"}
	}
	return nil
}

func (directsettings *DirectSettings) checkNumbers() *fieldError {
	bounds, link := directsettings.Bounds, directsettings.Host.Link
	for _, number := range []struct {
		field, demand string
		valid         bool
	}{
		{"host.link", mustNotBeNegative, link >= 0 && !math.IsInf(link, 0)},
		{"host.memory", mustNotBeNegative, directsettings.Host.Memory >= 0},
		{"peer.losses", mustNotBeNegative, directsettings.Peer.ToleratedFailures >= 0},
		{"bounds.retries", mustNotBeNegative, bounds.Retries >= 0},
		{"bounds.exposure", "must be 0 or more and less than 1", bounds.Exposure >= 0 && bounds.Exposure < 1},
		{"bounds.exposureSlack", mustNotBeNegative, bounds.ExposureSlack >= 0},
	} {
		if !number.valid {
			return &fieldError{number.field, number.demand}
		}
	}
	return nil
}

// TargetVoters returns the number of control hosts that vote so that the others form a majority
// after the loss of as many as are tolerated.
func (directsettings *DirectSettings) TargetVoters() int {
	return 2*directsettings.Peer.ToleratedFailures + 1
}

// ControlHosts returns the peer addresses of the seeds, which use the host's own
// peer port.
func (directsettings *DirectSettings) ControlHosts() []netip.AddrPort {
	hosts := make([]netip.AddrPort, 0, len(directsettings.Peer.Seeds))
	for _, seed := range directsettings.Peer.Seeds {
		hosts = append(hosts, netip.AddrPortFrom(seed.Addr(), directsettings.Peer.Address.Port()))
	}
	return hosts
}

// ControlPort returns the port on which control hosts accept calls, or 0 on a
// host without a control listener.
func (directsettings *DirectSettings) ControlPort() uint16 {
	address, err := netip.ParseAddrPort(directsettings.Listen.Control)
	if err != nil {
		return 0 // the address is empty: check rejects malformed ones
	}
	return address.Port()
}
