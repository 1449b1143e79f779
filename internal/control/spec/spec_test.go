package spec

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestExampleDocument(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", "first.toml"))
	is.NoErr(err)
	records, err := ParseDocument(data, FormatTOML)
	is.NoErr(err)
	kinds := map[Kind]bool{}
	for _, record := range records {
		kinds[record.Kind] = true
	}
	is.Equal(len(kinds), len(Kinds())-1) // the example has no upstreams, since they announce themselves
}

// TestSchemasAreEquivalent checks that the same service written in both schemas parses
// to the same specification.
func TestSchemasAreEquivalent(t *testing.T) {
	is := is.New(t)
	records, err := ParseDocument([]byte(`
[[service]]
name = "s"
schema = 1
version = 1
partitions = 8
timeoutSeconds = 1.5
policies = ["a", "b"]
[[service]]
name = "s"
schema = 2
version = 1
partitions = 8
timeout = "1.5s"
policies = [{ name = "a", share = 0.5 }, { name = "b", share = 0.5 }]
`), FormatTOML)
	is.NoErr(err)
	first, err := records[0].Parse()
	is.NoErr(err)
	second, err := records[1].Parse()
	is.NoErr(err)
	is.Equal(first, second)
	service, ok := first.(Service)
	is.True(ok)
	is.Equal(service.Timeout, 1500*time.Millisecond)
}

// TestInvalidDocuments checks that invalid documents are refused and that the error
// names the cause.
func TestInvalidDocuments(t *testing.T) {
	for _, test := range []struct {
		name string
		text string
		want string
	}{
		{"no records", "", "no records"},
		{"invalid TOML", "= 1", "read document"},
		{"unknown kind", "[[server]]\nname = \"a\"\n", "server"},
		{"not a list", "[workspace]\nname = \"a\"\n", "not a list"},
		{"missing version", "[[workspace]]\nname = \"a\"\nschema = 1\n", "version"},
		{"missing schema", "[[workspace]]\nname = \"a\"\nversion = 1\n", "schema"},
		{"unknown schema", "[[workspace]]\nname = \"a\"\nschema = 3\nversion = 1\n", "schema 3"},
		{"bad name", "[[workspace]]\nname = \"a b\"\nschema = 1\nversion = 1\n", "name"},
		{"unknown field", "[[workspace]]\nname = \"a\"\nschema = 1\nversion = 1\nweight = 1\n", "weight"},
		{"wrong type", "[[service]]\nname = \"a\"\nschema = 1\nversion = 1\npartitions = \"many\"\n", "partitions"},
		{"negative partitions", "[[service]]\nname = \"a\"\nschema = 1\nversion = 1\npartitions = -1\n", "partitions"},
		{"bad duration", "[[service]]\nname = \"a\"\nschema = 2\nversion = 1\ntimeout = \"soon\"\n", "soon"},
		{"shares of zero", "[[service]]\nname = \"a\"\nschema = 2\nversion = 1\npolicies = [{ name = \"p\", share = 0 }]\n", "shares"},
		{"bad hash", "[[callerKey]]\nname = \"a\"\nschema = 1\nversion = 1\nworkspace = \"w\"\nhash = \"00\"\n", "SHA-256"},
		{"rate of zero", "[[rate]]\nname = \"a\"\nschema = 1\nversion = 1\nworkspace = \"w\"\nperSecond = 0\nburst = 1\n", "rate"},
		{"unknown routing", "[[policy]]\nname = \"a\"\nschema = 1\nversion = 1\nrouting = \"random\"\n", "random"},
		{"unknown admission", "[[policy]]\nname = \"a\"\nschema = 1\nversion = 1\nadmission = \"lifo\"\n", "lifo"},
		{"upstream without service", "[[upstream]]\nname = \"a\"\nschema = 1\nversion = 1\n", "service/name"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := ParseDocument([]byte(test.text), FormatTOML)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), test.want))
		})
	}
}

func FuzzParseDocument(f *testing.F) {
	f.Add([]byte("[[workspace]]\nname = \"a\"\nschema = 1\nversion = 1\n"), true)
	f.Add([]byte(`{"workspace":[{"name":"a","schema":1,"version":1}]}`), false)
	f.Fuzz(func(t *testing.T, data []byte, inTOML bool) {
		format := FormatJSON
		if inTOML {
			format = FormatTOML
		}
		records, err := ParseDocument(data, format)
		if err != nil {
			return
		}
		for _, record := range records {
			if _, err := record.Parse(); err != nil {
				t.Fatalf("a record of a valid document does not parse: %v", err)
			}
		}
	})
}
