package verbs

import (
	"encoding/json"
	"net/http"
	"net/netip"

	"damaskcrank.example/damaskcrank/internal/control/raft"
	"damaskcrank.example/damaskcrank/internal/oper/admin"
)

type memberCommand struct {
	Add     memberAddCommand     `cmd:"" help:"Add a control host. Returns once it has the whole log and votes."`
	Remove  memberRemoveCommand  `cmd:"" help:"Remove a control host."`
	Replace memberReplaceCommand `cmd:"" help:"Add a control host, then remove the one that it replaces."`
}

type memberTarget struct {
	Remote
	Output
}

func (membertarget *memberTarget) send(streams *Streams, args admin.MemberArgs) error {
	body, err := json.Marshal(args)
	if err != nil {
		return Error.New("encode request: %w", err)
	}
	var reply admin.MemberReply
	if err := membertarget.call(http.MethodPost, "/api/v1/members", typeJSON, body, &reply); err != nil {
		return err
	}
	if membertarget.json() {
		return printJSON(streams.Out, reply)
	}
	rows := newTable(streams.Out, "MEMBER", "ADDRESS", "VOTER", "MATCH")
	for _, member := range reply.Members {
		rows.row(member.ID, member.Address, member.Voter, member.Match)
	}
	return rows.flush()
}

type memberAddCommand struct {
	memberTarget

	Address netip.AddrPort `arg:"" help:"The control address of the new host."`
}

// Run adds the member.
func (memberaddcommand *memberAddCommand) Run(streams *Streams) error {
	return memberaddcommand.send(streams, admin.MemberArgs{Action: "add", Address: memberaddcommand.Address})
}

type memberRemoveCommand struct {
	memberTarget

	ID string `arg:"" help:"The member's ID, as status prints it."`
}

// Run removes the member.
func (memberremovecommand *memberRemoveCommand) Run(streams *Streams) error {
	return memberremovecommand.send(streams, admin.MemberArgs{Action: "remove", ID: raft.MemberID(memberremovecommand.ID)})
}

type memberReplaceCommand struct {
	memberTarget

	ID      string         `arg:"" help:"The ID of the member that is gone, as status prints it."`
	Address netip.AddrPort `arg:"" help:"The control address of the new host."`
}

// Run replaces the member.
func (memberreplacecommand *memberReplaceCommand) Run(streams *Streams) error {
	return memberreplacecommand.send(streams, admin.MemberArgs{
		Action: "replace", ID: raft.MemberID(memberreplacecommand.ID), Address: memberreplacecommand.Address,
	})
}
