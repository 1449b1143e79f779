package verbs

import (
	"os"
	"runtime/pprof"
)

// Profile is the flag that makes a command write a CPU profile.
type Profile struct {
	Profile string `help:"Write a processor profile to this file." placeholder:"FILE"`
}

// start starts the CPU profile, if the flag is set, and returns the function that
// ends it and closes the file.
func (profile Profile) start() (func(), error) {
	if profile.Profile == "" {
		return func() {}, nil
	}
	file, err := os.Create(profile.Profile)
	if err != nil {
		return nil, Error.New("create profile: %w", err)
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, Error.New("start profile: %w", err)
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close()
	}, nil
}
