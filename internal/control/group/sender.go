package group

import (
	"net/netip"

	"damaskcrank.example/damaskcrank/internal/control/raft"
)

// senderQueue bounds the messages that wait for one member; consensus repeats
// what is dropped.
const senderQueue = 256

// sender carries messages to one member, several at a time.
type sender struct {
	address netip.AddrPort
	queue   chan raft.Envelope
	stop    chan struct{}
}

func newSender(node *Node, address netip.AddrPort) *sender {
	sender := &sender{
		address: address,
		queue:   make(chan raft.Envelope, senderQueue),
		stop:    make(chan struct{}),
	}
	go sender.run(newWire(address, node.options.Secret), node.options.Address)
	return sender
}

func (sender *sender) run(wire *wire, own netip.AddrPort) {
	defer wire.close()
	for {
		select {
		case <-sender.stop:
			return
		case envelope := <-sender.queue:
			args := DeliverArgs{Envelopes: sender.collect(envelope), From: own}
			_ = wire.call("Control.Deliver", args, &DeliverReply{}, deliverTimeout)
		}
	}
}

// collect takes all messages that wait.
func (sender *sender) collect(first raft.Envelope) []raft.Envelope {
	envelopes := []raft.Envelope{first}
	for range senderQueue {
		select {
		case envelope := <-sender.queue:
			envelopes = append(envelopes, envelope)
			continue
		default:
		}
		break
	}
	return envelopes
}

func (sender *sender) send(envelope raft.Envelope) {
	select {
	case sender.queue <- envelope:
	default:
	}
}

func (sender *sender) close() { close(sender.stop) }

// sendEarly sends the messages that need no sync of the own disk.
func (node *Node) sendEarly(outputs []raft.Output) {
	for _, output := range outputs {
		for _, envelope := range output.Messages {
			if _, early := envelope.Message.(raft.AppendRequest); early {
				node.send(envelope)
			}
		}
	}
}

// sendLate sends the messages that promise something the disk now holds.
func (node *Node) sendLate(outputs []raft.Output) {
	for _, output := range outputs {
		for _, envelope := range output.Messages {
			if _, early := envelope.Message.(raft.AppendRequest); !early {
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
	address, ok := node.contacts[id]
	return address, ok
}
