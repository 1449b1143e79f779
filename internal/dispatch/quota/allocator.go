package quota

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"damaskcrank.example/damaskcrank/internal/base/codec"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
	"damaskcrank.example/damaskcrank/internal/peer/links"
)

const allocatorInboxSize = 256

// LoanReport reports what a limiter has left of a loan.
type LoanReport struct {
	Loan    uint64
	Unspent float64
	// Returned is set if the limiter returns the unspent tokens.
	Returned bool
}

// BorrowRequest is a limiter's request for tokens. It also reports on the loans
// that the limiter holds.
type BorrowRequest struct {
	Host      string
	Workspace string
	// Want is the number of tokens requested; 0 means that the request only reports
	// on loans.
	Want       int
	Held       []LoanReport
	Shard      state.ShardID
	ShardEpoch uint64
}

// BorrowResponse is the allocator's response. Refusal is empty if the allocator owns
// the shard, even if Count is 0.
type BorrowResponse struct {
	Loan    uint64
	Count   int
	Refusal calls.Reason
	// RetryAfter estimates when a token will be available, if Count is 0.
	RetryAfter time.Duration
}

// Lease reports whether the host's session lease is valid, and the epoch of the
// session.
type Lease interface {
	Valid() bool
	Epoch() uint64
}

// Allocator owns the token bucket of a workspace. It runs as a goroutine.
type Allocator struct {
	id      state.ShardID
	epoch   uint64
	host    string
	lease   Lease
	catalog func() *state.Catalog
	clock   clockwork.Clock
	inbox   chan borrowCall
	stop    chan struct{}
	done    chan struct{}
}

type borrowCall struct {
	request BorrowRequest
	reply   chan BorrowResponse
}

// NewAllocator starts the allocator of a quota shard that the catalog assigns to this
// host.
func NewAllocator(id state.ShardID, epoch uint64, host string, lease Lease, catalog func() *state.Catalog, clock clockwork.Clock) *Allocator {
	allocator := &Allocator{
		id: id, epoch: epoch, host: host, lease: lease, catalog: catalog, clock: clock,
		inbox: make(chan borrowCall, allocatorInboxSize), stop: make(chan struct{}), done: make(chan struct{}),
	}
	go allocator.run()
	return allocator
}

// Epoch returns the shard's epoch.
func (allocator *Allocator) Epoch() uint64 { return allocator.epoch }

// Borrow requests tokens from the allocator.
func (allocator *Allocator) Borrow(ctx context.Context, borrowrequest BorrowRequest) BorrowResponse {
	reply := make(chan BorrowResponse, 1)
	select {
	case allocator.inbox <- borrowCall{request: borrowrequest, reply: reply}:
	case <-allocator.done:
		return BorrowResponse{Refusal: calls.ReasonShardMoved}
	case <-ctx.Done():
		return BorrowResponse{Refusal: calls.ReasonQuotaUnavailable}
	}
	select {
	case borrowresponse := <-reply:
		return borrowresponse
	case <-allocator.done:
		return BorrowResponse{Refusal: calls.ReasonShardMoved}
	case <-ctx.Done():
		return BorrowResponse{Refusal: calls.ReasonQuotaUnavailable}
	}
}

func (allocator *Allocator) run() {
	defer close(allocator.done)
	workspace, _ := allocator.id.Quota()
	rate, _ := allocator.catalog().Rate(workspace)
	bucket := newBucket(allocator.epoch, rate.PerSecond, rate.Burst, allocator.clock.Now())
	for {
		select {
		case <-allocator.stop:
			return
		case received := <-allocator.inbox:
			received.reply <- allocator.handle(bucket, workspace, received.request)
		}
	}
}

func (allocator *Allocator) handle(bucket *bucket, workspace string, borrowrequest BorrowRequest) BorrowResponse {
	if !allocator.ownsShard() {
		return BorrowResponse{Refusal: calls.ReasonShardMoved}
	}
	now := allocator.clock.Now()
	rate, ok := allocator.catalog().Rate(workspace)
	if !ok {
		return BorrowResponse{Refusal: calls.ReasonShardMoved}
	}
	if rate.PerSecond != bucket.perSecond || rate.Burst != bucket.burst {
		bucket.setRate(rate.PerSecond, rate.Burst, now)
	}
	bucket.advance(now)
	for _, loanreport := range borrowrequest.Held {
		bucket.updateLoan(borrowrequest.Host, loanreport.Loan, loanreport.Unspent)
		if loanreport.Returned {
			bucket.returnTokens(borrowrequest.Host, loanreport.Loan, loanreport.Unspent)
		}
	}
	if borrowrequest.Want <= 0 {
		return BorrowResponse{}
	}
	loan, wait := bucket.lend(borrowrequest.Host, borrowrequest.Want, now)
	return BorrowResponse{Loan: loan.id, Count: int(loan.unspent), RetryAfter: wait}
}

// ownsShard reports whether the catalog still assigns the shard to this allocator's
// host and epoch, and the host's lease is valid.
func (allocator *Allocator) ownsShard() bool {
	shard := allocator.catalog().Shards[allocator.id]
	return shard.Epoch == allocator.epoch && shard.Host == allocator.host &&
		shard.Session == allocator.lease.Epoch() && allocator.lease.Valid()
}

// Close stops the allocator and waits until it has stopped.
func (allocator *Allocator) Close() {
	close(allocator.stop)
	<-allocator.done
}

// EncodeBorrowRequest encodes a request for tokens as a payload.
func EncodeBorrowRequest(borrowrequest BorrowRequest) (links.Payload, error) {
	head, err := codec.Marshal(borrowrequest)
	if err != nil {
		return links.Payload{}, Error.New("encode borrow request: %w", err)
	}
	return links.Payload{Kind: calls.KindBorrow, Head: head}, nil
}

// DecodeBorrowRequest decodes a request for tokens from a payload.
func DecodeBorrowRequest(payload links.Payload) (BorrowRequest, error) {
	var borrowrequest BorrowRequest
	if err := codec.Unmarshal(payload.Head, &borrowrequest); err != nil {
		return BorrowRequest{}, Error.New("decode borrow request: %w", err)
	}
	return borrowrequest, nil
}

// EncodeBorrowResponse encodes the allocator's response as a payload.
func EncodeBorrowResponse(borrowresponse BorrowResponse) (links.Payload, error) {
	head, err := codec.Marshal(borrowresponse)
	if err != nil {
		return links.Payload{}, Error.New("encode borrow response: %w", err)
	}
	return links.Payload{Kind: calls.KindLend, Head: head}, nil
}

// DecodeBorrowResponse decodes the allocator's response from a payload.
func DecodeBorrowResponse(payload links.Payload) (BorrowResponse, error) {
	var borrowresponse BorrowResponse
	if err := codec.Unmarshal(payload.Head, &borrowresponse); err != nil {
		return BorrowResponse{}, Error.New("decode borrow response: %w", err)
	}
	return borrowresponse, nil
}
