package verbs

import (
	"fmt"

	"damaskcrank.example/damaskcrank/internal/base/conf"
)

type settingsCommand struct {
	Check settingsCheckCommand `cmd:"" help:"Check a settings file and start nothing."`
}

type settingsCheckCommand struct {
	Settings string `help:"The settings file." placeholder:"FILE" required:"" short:"s"`
}

// Run checks the file.
func (settingscheckcommand *settingsCheckCommand) Run(streams *Streams) error {
	settings, err := conf.Load(settingscheckcommand.Settings)
	if err != nil {
		return Error.New("%w", err)
	}
	_, _ = fmt.Fprintf(streams.Out, "%s: host %s in %s is well described\n",
		settingscheckcommand.Settings, settings.Host.Name, settings.Host.DataCentre)
	return nil
}
