package direct

import (
	"context"
	"net/netip"

	"damaskcrank.example/damaskcrank/internal/base/pacer"
	"damaskcrank.example/damaskcrank/internal/peer/links"
)

// messageHeadBytes is about what a message between hosts takes of the link beyond its
// content.
const messageHeadBytes = 80

// messageBytes is about what a message between hosts takes of the link.
func messageBytes(payload links.Payload) int {
	return messageHeadBytes + len(payload.Kind) + len(payload.Head) + len(payload.Body)
}

// countedCaller accounts for the messages to other hosts, which are never delayed.
type countedCaller struct {
	*links.Client

	link *pacer.Link
}

// Call sends a request and waits for its reply.
func (countedcaller countedCaller) Call(ctx context.Context, address netip.AddrPort, request links.Payload) (links.Payload, error) {
	countedcaller.link.Account(pacer.Out, messageBytes(request))
	reply, err := countedcaller.Client.Call(ctx, address, request)
	if err == nil {
		countedcaller.link.Account(pacer.In, messageBytes(reply))
	}
	return reply, err //nolint:wrapcheck // callers tell its errors apart
}
