package fake

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/upstr"
)

func startKeyedUpstream(t *testing.T) *Upstream {
	t.Helper()
	upstream, err := Start(Options{
		Service: "s", Name: "u", Address: netip.MustParseAddrPort("127.0.0.1:0"), Slots: 2,
		Keyed: true, KeyHeader: "Resource-Key", ChecksToken: true,
	}, &Journal{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(upstream.Kill)
	return upstream
}

func newGrant(epoch uint64, basis int64, token uint64) upstr.Grant {
	return upstr.Grant{
		Epoch: epoch, Partitions: 1, Basis: basis, TTLMillis: time.Hour.Milliseconds(), Revision: epoch, Full: true,
		Slots: []upstr.GrantedSlot{{Partition: 0, Token: token}},
	}
}

// TestFencing checks which requests an upstream that checks fencing tokens refuses
// without running them.
func TestFencing(t *testing.T) {
	for _, test := range []struct {
		name   string
		grant  func(upstream *Upstream)
		token  uint64
		status int
	}{
		{"granted", func(upstream *Upstream) { upstream.applyGrant(newGrant(5, int64(upstream.monotonicTime()), 7)) }, 7, http.StatusOK},
		{"no grant", func(*Upstream) {}, 7, http.StatusConflict},
		{"old token", func(upstream *Upstream) { upstream.applyGrant(newGrant(5, int64(upstream.monotonicTime()), 8)) }, 7, http.StatusConflict},
		{"delayed grant", func(upstream *Upstream) {
			// The validity of an hour counts from the basis, two hours ago, not from the
			// arrival of the grant.
			upstream.applyGrant(newGrant(5, int64(upstream.monotonicTime()-2*time.Hour), 7))
		}, 7, http.StatusConflict},
		{"grant of an older primary after that of a newer one", func(upstream *Upstream) {
			upstream.applyGrant(newGrant(6, int64(upstream.monotonicTime()), 8))
			upstream.applyGrant(newGrant(5, int64(upstream.monotonicTime()), 7))
		}, 7, http.StatusConflict},
		{"excluded key", func(upstream *Upstream) {
			grant := newGrant(5, int64(upstream.monotonicTime()), 7)
			grant.Excluded = []string{"van-1"}
			upstream.applyGrant(grant)
		}, 7, http.StatusConflict},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			upstream := startKeyedUpstream(t)
			test.grant(upstream)
			request := httptest.NewRequest(http.MethodPost, "/book", http.NoBody)
			request.Header.Set("Resource-Key", "van-1")
			request.Header.Set("Idempotency-Key", "k")
			request.Header.Set(upstr.HeaderToken, strconv.FormatUint(test.token, 10))
			recorder := httptest.NewRecorder()
			upstream.handleRequest(recorder, request)
			is.Equal(recorder.Code, test.status)
			refused := test.status != http.StatusOK
			is.Equal(recorder.Header().Get(upstr.HeaderOutcome) == upstr.OutcomeFenced, refused)
			is.Equal(upstream.journal.Executions("k") == 0, refused)
		})
	}
}

// TestStampRequestGrantsNothing checks that a grant without a basis returns the
// upstream's time but grants no slots.
func TestStampRequestGrantsNothing(t *testing.T) {
	is := is.New(t)
	upstream := startKeyedUpstream(t)
	ack := upstream.applyGrant(upstr.Grant{Epoch: 9, Full: true, Slots: []upstr.GrantedSlot{{Partition: 0, Token: 7}}})
	is.True(ack.Stamp > 0)
	is.True(!upstream.owns("van-1", 7))
	is.Equal(len(upstream.fencingTokens), 0)
	is.Equal(state.PartitionOf("van-1", 1), 0)
}
