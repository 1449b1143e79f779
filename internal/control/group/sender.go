package group

import (
	"net/netip"
	"sync/atomic"

	"damaskcrank.example/damaskcrank/internal/control/raft"
	"damaskcrank.example/damaskcrank/internal/control/state"
)

const (
	// senderQueueSize and maxQueuedBytes bound the messages queued for one member. Messages
	// beyond them are dropped; Raft resends what is needed.
	senderQueueSize = 256
	maxQueuedBytes  = 4 << 20
	// maxDeliveryBytes bounds the messages of one call, unless there is only one.
	maxDeliveryBytes = 1 << 20
)

// sender delivers messages to one member in batches.
type sender struct {
	address netip.AddrPort
	queue   chan raft.Envelope
	// queued is the size of the queued messages in bytes.
	queued atomic.Int64
	stop   chan struct{}
}

func newSender(node *Node, address netip.AddrPort) *sender {
	sender := &sender{
		address: address,
		queue:   make(chan raft.Envelope, senderQueueSize),
		stop:    make(chan struct{}),
	}
	go sender.run(newConnection(address, node.options.Secret, &node.inbound), node.options.Address)
	return sender
}

func (sender *sender) run(connection *connection, self netip.AddrPort) {
	defer connection.close()
	for {
		select {
		case <-sender.stop:
			return
		case envelope := <-sender.queue:
			args := DeliverArgs{Envelopes: sender.drainQueue(envelope), From: self, Format: state.LatestFormat}
			_ = connection.call("Control.Deliver", args, &DeliverReply{}, deliverTimeout)
		}
	}
}

// drainQueue returns the first message together with queued ones, up to maxDeliveryBytes.
func (sender *sender) drainQueue(first raft.Envelope) []raft.Envelope {
	envelopes, size := []raft.Envelope{first}, first.Size()
	sender.queued.Add(-int64(size))
	for len(envelopes) <= senderQueueSize && size < maxDeliveryBytes {
		select {
		case envelope := <-sender.queue:
			sender.queued.Add(-int64(envelope.Size()))
			size += envelope.Size()
			envelopes = append(envelopes, envelope)
			continue
		default:
		}
		break
	}
	return envelopes
}

// send queues a message, or drops it if too many bytes wait. Only the event loop calls it.
func (sender *sender) send(envelope raft.Envelope) {
	size := int64(envelope.Size())
	if waiting := sender.queued.Load(); size > 0 && waiting > 0 && waiting+size > maxQueuedBytes {
		return
	}
	sender.queued.Add(size)
	select {
	case sender.queue <- envelope:
	default:
		sender.queued.Add(-size)
	}
}

func (sender *sender) close() { close(sender.stop) }

// sendBeforeSync sends the messages that do not depend on a sync of the local
// disk.
func (node *Node) sendBeforeSync(outputs []raft.Output) {
	for _, output := range outputs {
		for _, envelope := range output.Messages {
			if _, isAppend := envelope.Message.(raft.AppendRequest); isAppend {
				node.send(envelope)
			}
		}
	}
}

// sendAfterSync sends the messages that are valid only once the local disk has
// synced.
func (node *Node) sendAfterSync(outputs []raft.Output) {
	for _, output := range outputs {
		for _, envelope := range output.Messages {
			if _, isAppend := envelope.Message.(raft.AppendRequest); !isAppend {
				node.send(envelope)
			}
		}
	}
}

func (node *Node) send(envelope raft.Envelope) {
	address, ok := node.addressOf(envelope.To)
	if !ok {
		return
	}
	member, ok := node.senders[envelope.To]
	if ok && member.address != address {
		member.close()
		ok = false
	}
	if !ok {
		member = newSender(node, address)
		node.senders[envelope.To] = member
	}
	member.send(envelope)
}

func (node *Node) addressOf(id raft.MemberID) (netip.AddrPort, bool) {
	for _, member := range node.core.Members().All() {
		if member.ID == id {
			return member.Address, true
		}
	}
	address, ok := node.peerAddresses[id]
	return address, ok
}
