package pool

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// hopByHop lists the hop-by-hop header fields, which concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// EndToEnd returns a copy of the header without the hop-by-hop fields and the
// fields named in Connection.
func EndToEnd(header http.Header) http.Header {
	kept := header.Clone()
	for _, line := range header.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		kept.Del(name)
	}
	return kept
}

// maxKeepAliveSeconds bounds the timeout that an upstream may state.
const maxKeepAliveSeconds = 3600

// keepAlive returns the timeout parameter of a Keep-Alive field.
func keepAlive(field string) (time.Duration, bool) {
	for part := range strings.SplitSeq(field, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || seconds < 0 {
			return 0, false
		}
		return time.Duration(min(seconds, maxKeepAliveSeconds)) * time.Second, true
	}
	return 0, false
}

func itoa(number int) string { return strconv.Itoa(number) }
