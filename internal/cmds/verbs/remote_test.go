package verbs

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// TestEndlessReplyOfHost guards against a command that keeps all that a faulty host sends.
func TestEndlessReplyOfHost(t *testing.T) {
	is := is.New(t)
	block, cut := make([]byte, 1<<20), make(chan bool, 1)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		var err error
		for sent := 0; err == nil && sent < 2*maxReplyBytes; sent += len(block) {
			_, err = writer.Write(block)
		}
		cut <- err != nil
	}))
	defer server.Close()
	remote := Remote{Host: netip.MustParseAddrPort(server.Listener.Addr().String()), Token: "operator"}
	var answer any
	is.True(remote.get("/", &answer) != nil)
	is.True(<-cut)
}
