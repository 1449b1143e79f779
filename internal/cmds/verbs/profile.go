package verbs

import (
	"os"
	"runtime/pprof"
)

// Profile lets a command write a processor profile of itself.
type Profile struct {
	Profile string `help:"Write a processor profile to this file." placeholder:"FILE"`
}

// start starts the profile and returns how it ends.
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
