package conf

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// writeSettings writes a secret and the example settings, changed by edit, to a
// temporary folder and returns the path of the settings file.
func writeSettings(t *testing.T, edit func(string) string) string {
	t.Helper()
	is := is.New(t)
	folder := t.TempDir()
	secret := filepath.Join(folder, "secret")
	is.NoErr(os.WriteFile(secret, []byte("a secret of some length\n"), 0o600))
	data, err := os.ReadFile(filepath.Join("..", "..", "..", "settings.example.toml"))
	is.NoErr(err)
	text := strings.ReplaceAll(string(data), "/etc/damaskcrank/secret", secret)
	text = strings.ReplaceAll(text, "/var/lib/damaskcrank", folder)
	path := filepath.Join(folder, "settings.toml")
	is.NoErr(os.WriteFile(path, []byte(edit(text)), 0o600))
	return path
}

func TestExampleIsValid(t *testing.T) {
	is := is.New(t)
	settings, err := Load(writeSettings(t, func(text string) string { return text }))
	is.NoErr(err)
	is.Equal(settings.Host.Name, "entry-1")
	is.Equal(len(settings.Control.Hosts), 3)
}

func TestLoadErrorsNameLineAndField(t *testing.T) {
	for _, test := range []struct {
		name  string
		old   string
		new   string
		field string
	}{
		{"unknown field", `name = "entry-1"`, `title = "entry-1"`, "host.title"},
		{"wrong type", `enabled = true`, `enabled = "yes"`, "control.enabled"},
		{"invalid IP address", `address = "10.1.0.1:7400"`, `address = "10.1.0.1000:7400"`, "caller.address"},
		{"port 0", `address = "10.1.0.1:7401"`, `address = "10.1.0.1:0"`, "operator.address"},
		{"unspecified peer address", `address = "10.1.0.1:7402"`, `address = "0.0.0.0:7402"`, "peer.address"},
		{"empty host name", `name = "entry-1"`, `name = ""`, "host.name"},
		{"one heartbeat address missing", `heartbeats = ["10.1.0.1:7402", `, `heartbeats = [`, "control.heartbeats"},
		{"unknown log level", `level = "info"`, `level = "loud"`, "log.level"},
		{"key without certificate", `# tlsKey = `, `tlsKey = `, "caller.tlsCertificate"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			wantedLine := 0
			path := writeSettings(t, func(text string) string {
				is.Equal(strings.Count(text, test.old), 1)
				wantedLine = 1 + strings.Count(text[:strings.Index(text, test.old)], "\n")
				return strings.Replace(text, test.old, test.new, 1)
			})
			_, err := Load(path)
			is.True(err != nil)
			text := err.Error()
			is.True(strings.Contains(text, test.field)) // names the field
			if test.name != "key without certificate" {
				is.True(strings.Contains(text, path+":"+strconv.Itoa(wantedLine)+":")) // names file and line
			}
		})
	}
}

func TestMissingDataFolder(t *testing.T) {
	is := is.New(t)
	path := writeSettings(t, func(text string) string {
		return strings.Replace(text, `dataFolder = "`, `dataFolder = "/nowhere`, 1)
	})
	_, err := Load(path)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "host.dataFolder"))
	is.True(strings.Contains(err.Error(), "does not exist"))
}
