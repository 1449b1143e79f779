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

const bankInbox = 256

// Held says what a borrower has left of a loan.
type Held struct {
	Loan    uint64
	Unspent float64
	// Returned is set where the borrower gives the rest back.
	Returned bool
}

// Ask is a borrower's request for tokens.
type Ask struct {
	Host      string
	Workspace string
	// Want is the number of tokens; 0 only reports.
	Want       int
	Held       []Held
	Shard      state.ShardID
	ShardEpoch uint64
}

// Lent is the bank's answer. Refusal is empty where the bank is in charge.
type Lent struct {
	Loan    uint64
	Count   int
	Refusal calls.Reason
	// RetryAfter is when a token can be had, where Count is 0.
	RetryAfter time.Duration
}

// Lease tells whether the host may act.
type Lease interface {
	Valid() bool
	Epoch() uint64
}

// Bank is the task that holds a workspace's bucket.
type Bank struct {
	id      state.ShardID
	epoch   uint64
	host    string
	lease   Lease
	catalog func() *state.Catalog
	clock   clockwork.Clock
	inbox   chan bankAsk
	stop    chan struct{}
	done    chan struct{}
}

type bankAsk struct {
	ask   Ask
	reply chan Lent
}

// NewBank starts the bank of a quota shard that the catalog gives to this host.
func NewBank(id state.ShardID, epoch uint64, host string, lease Lease, catalog func() *state.Catalog, clock clockwork.Clock) *Bank {
	bank := &Bank{
		id: id, epoch: epoch, host: host, lease: lease, catalog: catalog, clock: clock,
		inbox: make(chan bankAsk, bankInbox), stop: make(chan struct{}), done: make(chan struct{}),
	}
	go bank.run()
	return bank
}

// Epoch returns the shard's epoch.
func (bank *Bank) Epoch() uint64 { return bank.epoch }

// Borrow asks the bank for tokens.
func (bank *Bank) Borrow(ctx context.Context, ask Ask) Lent {
	reply := make(chan Lent, 1)
	select {
	case bank.inbox <- bankAsk{ask: ask, reply: reply}:
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
			received.reply <- bank.answer(bucket, workspace, received.ask)
		}
	}
}

func (bank *Bank) answer(bucket *bucket, workspace string, ask Ask) Lent {
	if !bank.mine() {
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
		bucket.report(ask.Host, held.Loan, held.Unspent)
		if held.Returned {
			bucket.giveBack(ask.Host, held.Loan, held.Unspent)
		}
	}
	if ask.Want <= 0 {
		return Lent{}
	}
	given, wait := bucket.lend(ask.Host, ask.Want, now)
	return Lent{Loan: given.id, Count: int(given.unspent), RetryAfter: wait}
}

// mine tells whether this bank is in charge, under a lease that holds.
func (bank *Bank) mine() bool {
	present := bank.catalog().Shards[bank.id]
	return present.Epoch == bank.epoch && present.Host == bank.host &&
		present.Session == bank.lease.Epoch() && bank.lease.Valid()
}

// Close ends the task.
func (bank *Bank) Close() {
	close(bank.stop)
	<-bank.done
}

// EncodeAsk makes a payload of an ask.
func EncodeAsk(ask Ask) (links.Payload, error) {
	head, err := codec.Marshal(ask)
	if err != nil {
		return links.Payload{}, Error.New("encode ask: %w", err)
	}
	return links.Payload{Kind: calls.KindBorrow, Head: head}, nil
}

// DecodeAsk reads an ask out of a payload.
func DecodeAsk(payload links.Payload) (Ask, error) {
	var ask Ask
	if err := codec.Unmarshal(payload.Head, &ask); err != nil {
		return Ask{}, Error.New("decode ask: %w", err)
	}
	return ask, nil
}

// EncodeLent makes a payload of an answer.
func EncodeLent(lent Lent) (links.Payload, error) {
	head, err := codec.Marshal(lent)
	if err != nil {
		return links.Payload{}, Error.New("encode answer: %w", err)
	}
	return links.Payload{Kind: calls.KindLend, Head: head}, nil
}

// DecodeLent reads an answer out of a payload.
func DecodeLent(payload links.Payload) (Lent, error) {
	var lent Lent
	if err := codec.Unmarshal(payload.Head, &lent); err != nil {
		return Lent{}, Error.New("decode answer: %w", err)
	}
	return lent, nil
}
