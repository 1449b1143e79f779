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

const bankInboxSize = 256

// Held reports what a borrower has left of a loan.
type Held struct {
	Loan    uint64
	Unspent float64
	// Returned is set if the borrower returns the unspent tokens.
	Returned bool
}

// Ask is a borrower's request for tokens. It also reports on the loans that the
// borrower holds.
type Ask struct {
	Host      string
	Workspace string
	// Want is the number of tokens requested; 0 only reports on loans.
	Want       int
	Held       []Held
	Shard      state.ShardID
	ShardEpoch uint64
}

// Lent is the bank's response. Refusal is empty if the bank is in charge of the
// shard, even if Count is 0.
type Lent struct {
	Loan    uint64
	Count   int
	Refusal calls.Reason
	// RetryAfter estimates when a token will be available, if Count is 0.
	RetryAfter time.Duration
}

// Lease is the host's lease. Epoch is the epoch of its session.
type Lease interface {
	Valid() bool
	Epoch() uint64
}

// Bank owns the token bucket of a workspace. It runs as a goroutine.
type Bank struct {
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
	ask   Ask
	reply chan Lent
}

// NewBank starts the bank of a quota shard that the catalog assigns to this host.
func NewBank(id state.ShardID, epoch uint64, host string, lease Lease, catalog func() *state.Catalog, clock clockwork.Clock) *Bank {
	bank := &Bank{
		id: id, epoch: epoch, host: host, lease: lease, catalog: catalog, clock: clock,
		inbox: make(chan borrowCall, bankInboxSize), stop: make(chan struct{}), done: make(chan struct{}),
	}
	go bank.run()
	return bank
}

// Epoch returns the shard's epoch.
func (bank *Bank) Epoch() uint64 { return bank.epoch }

// Borrow requests tokens from the bank.
func (bank *Bank) Borrow(ctx context.Context, ask Ask) Lent {
	reply := make(chan Lent, 1)
	select {
	case bank.inbox <- borrowCall{ask: ask, reply: reply}:
	case <-bank.done:
		return Lent{Refusal: calls.ReasonShardMoved}
	case <-ctx.Done():
		return Lent{Refusal: calls.ReasonQuotaUnavailable}
	}
	select {
	case lent := <-reply:
		return lent
	case <-bank.done:
		return Lent{Refusal: calls.ReasonShardMoved}
	case <-ctx.Done():
		return Lent{Refusal: calls.ReasonQuotaUnavailable}
	}
}

func (bank *Bank) run() {
	defer close(bank.done)
	workspace, _ := bank.id.Quota()
	rate, _ := bank.catalog().Rate(workspace)
	bucket := newBucket(rate.PerSecond, rate.Burst, bank.clock.Now())
	for {
		select {
		case <-bank.stop:
			return
		case received := <-bank.inbox:
			received.reply <- bank.handle(bucket, workspace, received.ask)
		}
	}
}

func (bank *Bank) handle(bucket *bucket, workspace string, ask Ask) Lent {
	if !bank.inCharge() {
		return Lent{Refusal: calls.ReasonShardMoved}
	}
	now := bank.clock.Now()
	rate, ok := bank.catalog().Rate(workspace)
	if !ok {
		return Lent{Refusal: calls.ReasonShardMoved}
	}
	if rate.PerSecond != bucket.perSecond || rate.Burst != bucket.burst {
		bucket.setRate(rate.PerSecond, rate.Burst, now)
	}
	bucket.advance(now)
	for _, held := range ask.Held {
		bucket.updateLoan(ask.Host, held.Loan, held.Unspent)
		if held.Returned {
			bucket.returnTokens(ask.Host, held.Loan, held.Unspent)
		}
	}
	if ask.Want <= 0 {
		return Lent{}
	}
	given, wait := bucket.lend(ask.Host, ask.Want, now)
	return Lent{Loan: given.id, Count: int(given.unspent), RetryAfter: wait}
}

// inCharge reports whether the catalog still assigns the shard to this bank's host
// and epoch, and the host's lease is valid.
func (bank *Bank) inCharge() bool {
	shard := bank.catalog().Shards[bank.id]
	return shard.Epoch == bank.epoch && shard.Host == bank.host &&
		shard.Session == bank.lease.Epoch() && bank.lease.Valid()
}

// Close stops the bank and waits until it has stopped.
func (bank *Bank) Close() {
	close(bank.stop)
	<-bank.done
}

// EncodeAsk encodes a request for tokens as a payload.
func EncodeAsk(ask Ask) (links.Payload, error) {
	head, err := codec.Marshal(ask)
	if err != nil {
		return links.Payload{}, Error.New("encode request for tokens: %w", err)
	}
	return links.Payload{Kind: calls.KindBorrow, Head: head}, nil
}

// DecodeAsk decodes a request for tokens from a payload.
func DecodeAsk(payload links.Payload) (Ask, error) {
	var ask Ask
	if err := codec.Unmarshal(payload.Head, &ask); err != nil {
		return Ask{}, Error.New("decode request for tokens: %w", err)
	}
	return ask, nil
}

// EncodeLent encodes the bank's response as a payload.
func EncodeLent(lent Lent) (links.Payload, error) {
	head, err := codec.Marshal(lent)
	if err != nil {
		return links.Payload{}, Error.New("encode loan: %w", err)
	}
	return links.Payload{Kind: calls.KindLend, Head: head}, nil
}

// DecodeLent decodes the bank's response from a payload.
func DecodeLent(payload links.Payload) (Lent, error) {
	var lent Lent
	if err := codec.Unmarshal(payload.Head, &lent); err != nil {
		return Lent{}, Error.New("decode loan: %w", err)
	}
	return lent, nil
}
