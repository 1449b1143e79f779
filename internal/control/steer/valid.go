package steer

import (
	"net/netip"
	"time"
	"unicode/utf8"
)

const (
	// maxTextBytes bounds each text of a heartbeat: ID, names and handover tokens. Answers
	// hold several tokens and have 4 KiB at most.
	maxTextBytes = 256
	// maxSlots bounds the slots of an upstream.
	maxSlots = 10000
	// maxNumber bounds sequences and fencing tokens, which are counted up by one.
	maxNumber = 1 << 62
	// maxBornAhead bounds how far in the future a process may have started. Clocks differ by
	// far less.
	maxBornAhead = 24 * time.Hour
)

// ErrInvalidHeartbeat is the error of a heartbeat that names no upstream, such as one of
// another writer.
var ErrInvalidHeartbeat = Error.New("the heartbeat is not one of an upstream")

// Validate returns an error unless the values of the heartbeat are in their ranges. Those that
// are not could be stored for longer than the upstream lives, or stand in the way of later
// heartbeats.
func (heartbeat Heartbeat) Validate(now time.Time) error {
	instance := heartbeat.Instance
	for _, text := range []string{instance.ID, instance.Service, instance.DataCentre} {
		if text == "" || !validText(text) {
			return Error.New("%w: an ID or a name is empty, too long or not UTF-8", ErrInvalidHeartbeat)
		}
	}
	switch {
	case !validText(instance.Version):
		return Error.New("%w: the version is too long or not UTF-8", ErrInvalidHeartbeat)
	case !validAddress(instance.Address):
		return Error.New("%w: nothing can be sent to address %s", ErrInvalidHeartbeat, instance.Address)
	case instance.Slots < 1 || instance.Slots > maxSlots:
		return Error.New("%w: it has %d slots", ErrInvalidHeartbeat, instance.Slots)
	case instance.Born < 0 || instance.Born > now.Add(maxBornAhead).UnixMilli():
		return Error.New("%w: it was started at %d ms", ErrInvalidHeartbeat, instance.Born)
	case heartbeat.Sequence > maxNumber:
		return Error.New("%w: it has sequence %d", ErrInvalidHeartbeat, heartbeat.Sequence)
	}
	for _, hold := range heartbeat.Holds {
		if hold.From > hold.To || hold.Fence > maxNumber {
			return Error.New("%w: it holds %d to %d with token %d", ErrInvalidHeartbeat, hold.From, hold.To, hold.Fence)
		}
	}
	for _, release := range heartbeat.Released {
		if release.From > release.To || !validText(release.Handover) {
			return Error.New("%w: it releases %d to %d with an invalid token", ErrInvalidHeartbeat, release.From, release.To)
		}
	}
	return nil
}

func validText(text string) bool { return len(text) <= maxTextBytes && utf8.ValidString(text) }

// validAddress reports whether one host may listen at the address.
func validAddress(address netip.AddrPort) bool {
	ip := address.Addr()
	return address.IsValid() && address.Port() != 0 && ip.Zone() == "" && !ip.IsUnspecified() && !ip.IsMulticast()
}
