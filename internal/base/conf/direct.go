package conf

import (
	"bytes"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Direct are the settings of a host of a fleet whose entry hosts send straight
// to upstreams, by section.
type Direct struct {
	Host   DirectHost   `toml:"host"`
	Listen DirectListen `toml:"listen"`
	Peer   DirectPeer   `toml:"peer"`
	Bounds DirectBounds `toml:"bounds"`
	Log    Log          `toml:"log"`
}

// DirectHost names the host and its place.
type DirectHost struct {
	Name       string `toml:"name"`
	DataCentre string `toml:"dataCentre"`
	// DataFolder is where a control host keeps its log.
	DataFolder string `toml:"dataFolder"`
	// FirstStart is set while the whole fleet starts for the first time: only
	// then may control hosts form a group.
	FirstStart bool `toml:"firstStart"`
}

// DirectListen says where the host takes connections. Unused ones are empty.
type DirectListen struct {
	Callers string `toml:"callers"`
	Health  string `toml:"health"`
	Control string `toml:"control"`
	Metrics string `toml:"metrics"`
}

// DirectPeer says how hosts of the fleet reach each other.
type DirectPeer struct {
	Address netip.AddrPort `toml:"address"`
	// Seeds are the addresses of some control hosts. Only their IP counts: the
	// peer port is the same on all hosts.
	Seeds []netip.AddrPort `toml:"seeds"`
	// Secret is what hosts of one fleet prove to each other.
	Secret string `toml:"secret"`
	// Losses is the number of control hosts that may be lost at a time.
	Losses int `toml:"losses"`
}

// DirectBounds are the times that the operators of the fleet ask for.
type DirectBounds struct {
	// Revoke is the time after which a withdrawn caller key must not work.
	Revoke Duration `toml:"revoke"`
	// Drain is the time after which an upstream that leaves gets no request.
	Drain Duration `toml:"drain"`
	// Grace is the time from a request to stop until the process is killed.
	Grace Duration `toml:"grace"`
}

// Duration is a time.Duration that is written as text, such as "1.5s".
type Duration time.Duration

// UnmarshalText reads a duration.
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
	// defaultRevoke, defaultDrain and defaultGrace hold where nothing is set.
	defaultRevoke = 5 * time.Second
	defaultDrain  = 2 * time.Second
	defaultGrace  = 6 * time.Second
)

// LoadDirect reads and checks a settings file. The error names file, line and
// field.
func LoadDirect(path string) (Direct, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Direct{}, Error.New("read: %w", err)
	}
	direct := Direct{Log: Log{Level: defaultLevel}}
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&direct); err != nil {
		return Direct{}, Error.New("%s", describe(path, err))
	}
	direct.fill()
	if fault := direct.check(); fault != nil {
		return Direct{}, Error.New("%s:%d: %s", path, locate(data, fault.field), fault.Error())
	}
	return direct, nil
}

func (direct *Direct) fill() {
	for _, bound := range []struct {
		field    *Duration
		fallback time.Duration
	}{
		{&direct.Bounds.Revoke, defaultRevoke},
		{&direct.Bounds.Drain, defaultDrain},
		{&direct.Bounds.Grace, defaultGrace},
	} {
		if *bound.field <= 0 {
			*bound.field = Duration(bound.fallback)
		}
	}
}

func (direct *Direct) check() *fieldError {
	if direct.Host.Name == "" {
		return &fieldError{"host.name", mustBeSet}
	}
	if direct.Host.DataCentre == "" {
		return &fieldError{"host.dataCentre", mustBeSet}
	}
	if !usable(direct.Peer.Address) || direct.Peer.Address.Addr().IsUnspecified() {
		return &fieldError{"peer.address", "must be an IP address and a port that other hosts reach"}
	}
	if len(direct.Peer.Seeds) == 0 {
		return &fieldError{"peer.seeds", "must list control hosts"}
	}
	if len(direct.Peer.Secret) < minSecretLength {
		return &fieldError{"peer.secret", "must have 16 characters or more"}
	}
	if direct.Peer.Losses < 0 {
		return &fieldError{"peer.losses", "must not be below 0"}
	}
	for _, entry := range []struct{ field, address string }{
		{"listen.callers", direct.Listen.Callers}, {"listen.health", direct.Listen.Health},
		{"listen.control", direct.Listen.Control}, {"listen.metrics", direct.Listen.Metrics},
	} {
		if entry.address == "" {
			continue
		}
		if address, err := netip.ParseAddrPort(entry.address); err != nil || !usable(address) {
			return &fieldError{entry.field, "must be an IP address and a port, such as 10.0.0.1:7400"}
		}
	}
	if direct.Listen.Control != "" && strings.TrimSpace(direct.Host.DataFolder) == "" {
		return &fieldError{"host.dataFolder", "must be set on a control host"}
	}
	return nil
}

// ControlHosts returns the peer addresses of the seeds.
func (direct *Direct) ControlHosts() []netip.AddrPort {
	hosts := make([]netip.AddrPort, 0, len(direct.Peer.Seeds))
	for _, seed := range direct.Peer.Seeds {
		hosts = append(hosts, netip.AddrPortFrom(seed.Addr(), direct.Peer.Address.Port()))
	}
	return hosts
}

// ControlPort returns the port at which control hosts take calls.
func (direct *Direct) ControlPort() uint16 {
	address, err := netip.ParseAddrPort(direct.Listen.Control)
	if err != nil {
		return 0 // check has refused such settings
	}
	return address.Port()
}
