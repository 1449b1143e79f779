package stand

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

func startKeyed(t *testing.T) *Upstream {
	t.Helper()
	upstream, err := Start(Options{
		Service: "s", Name: "u", Address: netip.MustParseAddrPort("127.0.0.1:0"), Slots: 2,
		Keyed: true, KeyHeader: "Resource-Key", ChecksToken: true,
	}, &Journal{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(upstream.Stop)
	return upstream
}

func grantOf(epoch uint64, basis int64, token uint64) upstr.Grant {
	return upstr.Grant{
		Epoch: epoch, Partitions: 1, Basis: basis, TTLMillis: time.Hour.Milliseconds(), Revision: epoch, Full: true,
		Slots: []upstr.GrantedSlot{{Partition: 0, Token: token}},
	}
}

// TestFences lists what an upstream that checks tokens refuses as not run.
func TestFences(t *testing.T) {
	for _, test := range []struct {
		name   string
		grant  func(upstream *Upstream)
		token  uint64
		status int
	}{
		{"granted", func(upstream *Upstream) { upstream.accept(grantOf(5, int64(upstream.stamp()), 7)) }, 7, http.StatusOK},
		{"no grant", func(*Upstream) {}, 7, http.StatusConflict},
		{"old token", func(upstream *Upstream) { upstream.accept(grantOf(5, int64(upstream.stamp()), 8)) }, 7, http.StatusConflict},
		{"grant that was held up", func(upstream *Upstream) {
			// It left long ago and comes in only now: it counts from its basis.
			upstream.accept(grantOf(5, int64(upstream.stamp()-2*time.Hour), 7))
		}, 7, http.StatusConflict},
		{"older primary after a newer one", func(upstream *Upstream) {
			upstream.accept(grantOf(6, int64(upstream.stamp()), 8))
			upstream.accept(grantOf(5, int64(upstream.stamp()), 7))
		}, 7, http.StatusConflict},
		{"key excluded", func(upstream *Upstream) {
			grant := grantOf(5, int64(upstream.stamp()), 7)
			grant.Excluded = []string{"van-1"}
			upstream.accept(grant)
		}, 7, http.StatusConflict},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			upstream := startKeyed(t)
			test.grant(upstream)
			request := httptest.NewRequest(http.MethodPost, "/book", http.NoBody)
			request.Header.Set("Resource-Key", "van-1")
			request.Header.Set("Idempotency-Key", "k")
			request.Header.Set(upstr.HeaderToken, strconv.FormatUint(test.token, 10))
			recorder := httptest.NewRecorder()
			upstream.serve(recorder, request)
			is.Equal(recorder.Code, test.status)
			refused := test.status != http.StatusOK
			is.Equal(recorder.Header().Get(upstr.HeaderOutcome) == upstr.OutcomeFenced, refused)
			is.Equal(upstream.journal.Runs("k") == 0, refused)
		})
	}
}

func TestAskForStampGrantsNothing(t *testing.T) {
	is := is.New(t)
	upstream := startKeyed(t)
	ack := upstream.accept(upstr.Grant{Epoch: 9, Full: true, Slots: []upstr.GrantedSlot{{Partition: 0, Token: 7}}})
	is.True(ack.Stamp > 0)
	is.True(!upstream.owns("van-1", 7))
	is.Equal(len(upstream.held), 0)
	is.Equal(state.PartitionOf("van-1", 1), 0)
}
