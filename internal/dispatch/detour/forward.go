package detour

import (
	"context"
	"errors"
	"slices"
	"time"

	"damaskcrank.example/damaskcrank/internal/base/codec"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/admit"
	"damaskcrank.example/damaskcrank/internal/dispatch/crash"
	"damaskcrank.example/damaskcrank/internal/dispatch/pool"
	"damaskcrank.example/damaskcrank/internal/peer/links"
)

// minForwarding is the number of requests of other hosts that a host always takes. Beyond
// it takes as many as its own callers have in progress.
const minForwarding = 64

// forward asks another host to send a request, and waits for the outcome. With an error
// that is links.ErrNotSent the other host did not get the request.
func (sender *Sender) forward(ctx context.Context, other state.Entry, target admit.Target, request Request) (*forwardReply, error) {
	if err := sender.open(ctx, other); err != nil {
		return nil, errors.Join(links.ErrNotSent, err)
	}
	prepared := request.Prepare()
	head, err := codec.Marshal(forwardMessage{
		Service: target.Service, UpstreamID: target.Owner.ID, Born: target.Owner.Born,
		RequestID: request.ID, Content: request.Content, From: sender.Self,
		Method: prepared.Method, Target: prepared.Target, Host: prepared.Host, Header: prepared.Header,
		Left: request.Deadline.Sub(sender.Clock.Now()),
	})
	if err != nil {
		return nil, errors.Join(links.ErrNotSent, Error.New("encode the request: %w", err))
	}
	// The upstream may work on the request for as long as its time lasts.
	payload, err := sender.Caller.Call(links.WithPatience(ctx), other.Peer, links.Payload{Kind: kindForward, Head: head, Body: slices.Concat(prepared.Body...)})
	if err != nil {
		return nil, Error.New("forward to %s: %w", other.Name, err)
	}
	if payload.Kind == kindUnknown {
		return &forwardReply{Outcome: forwardDeclined}, nil
	}
	var reply forwardReply
	if err := codec.Unmarshal(payload.Head, &reply); err != nil {
		return nil, Error.New("decode the reply of %s: %w", other.Name, err)
	}
	reply.body = payload.Body
	return &reply, nil
}

// open opens the link to another host, if it is not open yet. A host that is down may not
// respond for seconds.
func (sender *Sender) open(ctx context.Context, other state.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	opened := make(chan error, 1)
	go func() { opened <- sender.Caller.Open(ctx, other.Peer) }()
	select {
	case err := <-opened:
		if err != nil {
			return Error.New("open the link to %s: %w", other.Name, err)
		}
		return nil
	case <-ctx.Done():
		return Error.New("open the link to %s: %w", other.Name, ctx.Err())
	}
}

// Handles reports whether Serve handles a request of another host.
func Handles(request links.Payload) bool {
	return request.Kind == kindForward || request.Kind == kindProbe
}

// Serve sends a request or a probe for another host and returns the outcome. The context
// ends when that host cancels the request or is lost.
func (sender *Sender) Serve(ctx context.Context, request links.Payload) links.Payload {
	serve := sender.serveForward
	if request.Kind == kindProbe {
		serve = sender.serveProbe
	}
	reply, err := serve(ctx, request)
	if err != nil {
		sender.Log.WithError(err).Warn(logPrefix + "cannot handle a request of another host")
		return links.Payload{Kind: kindUnknown}
	}
	return reply
}

// serveForward handles a forwardMessage.
func (sender *Sender) serveForward(ctx context.Context, request links.Payload) (links.Payload, error) {
	var message forwardMessage
	if err := codec.Unmarshal(request.Head, &message); err != nil {
		return links.Payload{}, Error.New("decode a request: %w", err)
	}
	reply := sender.serve(ctx, message, request.Body)
	sender.Stats.Event("forward", string(reply.Outcome))
	sender.Log.WithField("request", message.RequestID).WithField("content", message.Content).WithField("from", message.From).
		WithField("upstream", message.UpstreamID).WithField("left", message.Left.String()).WithField("outcome", string(reply.Outcome)).
		WithField("status", reply.Status).WithField("failure", string(reply.Failure)).Info(logPrefix + "sent a request for another host")
	encoded, err := reply.payload()
	if err != nil {
		sender.Log.WithError(err).WithField("request", message.RequestID).Error(logPrefix + "cannot encode the outcome for another host")
		return links.Payload{Kind: kindForwarded}, nil // can't be decoded: the request may have run
	}
	return encoded, nil
}

func (sender *Sender) serve(ctx context.Context, message forwardMessage, body []byte) *forwardReply {
	sender.recordForward()
	defer sender.forwarding.Add(-1)
	defer sender.recordForward()
	if sender.forwarding.Add(1) > max(minForwarding, sender.sending.Load()) || sender.stopsWithin(message.Left) {
		return &forwardReply{Outcome: forwardDeclined}
	}
	target, known := sender.Scheduler.Target(message.Service, message.owner())
	if !known || sender.check(target) != nil {
		return &forwardReply{Outcome: forwardDeclined}
	}
	path := pathTo(target)
	if !sender.Paths.Usable(path) {
		sender.tryPath(path)
		return &forwardReply{Outcome: sender.unreached()}
	}
	ctx, cancel := context.WithTimeout(ctx, message.Left)
	defer cancel()
	attempt := crash.Attempt{Content: message.Content, Service: target.Service, Owner: target.Owner, Address: target.Address}
	outcome := sender.sendDirectly(ctx, target, &pool.Request{
		ID: message.RequestID, Method: message.Method, Target: message.Target, Host: message.Host, Header: message.Header, Body: pool.Body{body},
		OnLateLoss: func() { sender.Crashes.Lost(attempt) },
	})
	failure := outcome.Failure
	switch {
	case failure == nil:
		return answer(outcome.Response)
	case unwanted(failure):
		return &forwardReply{Outcome: forwardDeclined}
	case !failure.MayHaveRun() && ctx.Err() == nil:
		return &forwardReply{Outcome: sender.unreached()}
	case failure.Failure == pool.FailureLost:
		sender.Crashes.Lost(attempt)
	}
	return &forwardReply{
		Outcome: forwardFailed, Failure: failure.Failure, Reason: failure.Reason, Received: failure.Received,
		Cause: failure.Cause.Error(), AtFault: outcome.AtFault,
	}
}

// stopsWithin reports whether this host will have stopped before a time is over.
func (sender *Sender) stopsWithin(left time.Duration) bool {
	if sender.StopsAt == nil {
		return false
	}
	stopsAt := sender.StopsAt()
	return !stopsAt.IsZero() && sender.Clock.Now().Add(left).After(stopsAt)
}

func (sender *Sender) recordForward() { sender.forwardedAt.Store(sender.Clock.Now().UnixNano()) }

// Forwarding returns the number of requests of other hosts in progress.
func (sender *Sender) Forwarding() int64 { return sender.forwarding.Load() }

// Settled reports whether no request of another host is in progress, and none has come or was
// done for some time: outcomes and further requests may be on their way after the last one.
func (sender *Sender) Settled(within time.Duration) bool {
	return sender.Forwarding() == 0 && sender.Clock.Now().Sub(time.Unix(0, sender.forwardedAt.Load())) >= within
}

func (sender *Sender) unreached() forwardOutcome {
	if sender.Paths.Isolated() {
		return forwardIsolated
	}
	return forwardUnreached
}

// answer returns the reply with an upstream's response.
func answer(response *pool.Response) *forwardReply {
	if response.Body.Len() > maxBodyBytes {
		return &forwardReply{
			Outcome: forwardFailed, Failure: pool.FailureGarbled, Reason: pool.ReasonBodyTooLong,
			Cause: "the response is too long to be passed on", Received: response.Body.Len(),
		}
	}
	reply := &forwardReply{Outcome: forwardAnswered, Status: response.Status, Header: response.Header}
	for _, piece := range response.Body {
		reply.body = append(reply.body, piece...)
	}
	return reply
}
