package verbs

import (
	"fmt"
	"time"

	"damaskcrank.example/damaskcrank/internal/oper/admin"
)

type statusCommand struct {
	Remote
	Output
}

// Run prints the fleet's status.
func (statuscommand *statusCommand) Run(streams *Streams) error {
	var status admin.StatusReply
	if err := statuscommand.get("/api/v1/status", &status); err != nil {
		return err
	}
	if statuscommand.json() {
		return printJSON(streams.Out, status)
	}
	return printStatus(streams, status)
}

func printStatus(streams *Streams, status admin.StatusReply) error {
	_, _ = fmt.Fprintf(streams.Out, "configuration index %d, control leader %s, term %d, committed %d\n\n",
		status.Index, status.Leader, status.Control.Term, status.Control.Commit)
	members := newTable(streams.Out, "MEMBER", "ADDRESS", "VOTER", "MATCH")
	for _, member := range status.Control.Members {
		members.row(member.ID, member.Address, member.Voter, member.Match)
	}
	hosts := newTable(streams.Out, "HOST", "DATA CENTRE", "SESSION", "APPLIED", "SILENT", "SHARDS", "DRAINING")
	for _, host := range status.Hosts {
		silent := time.Duration(host.SilentMillis) * time.Millisecond
		hosts.row(host.Name, host.DataCentre, host.Session, host.Applied, silent, host.Shards, host.Draining)
	}
	shards := newTable(streams.Out, "SHARD", "HOST", "EPOCH", "WAITING", "RUNNING", "WORST WORKSPACE")
	for _, shard := range status.Shards {
		worst := "-"
		if shard.WorstWaiting > 0 {
			worst = fmt.Sprintf("%s (%d)", shard.WorstWorkspace, shard.WorstWaiting)
		}
		shards.row(shard.ID, shard.Host, shard.Epoch, shard.Waiting, shard.Running, worst)
	}
	owners := newTable(streams.Out, "SERVICE", "UPSTREAM", "DATA CENTRE", "IN SERVICE", "PARTITIONS", "MOVING", "KEYS")
	for _, owner := range status.Owners {
		owners.row(owner.Service, owner.Upstream, owner.DataCentre, owner.InService, owner.Partitions, owner.Moving, owner.Keys)
	}
	for _, rows := range []table{members, hosts, shards, owners} {
		if err := rows.flush(); err != nil {
			return err
		}
		_, _ = fmt.Fprintln(streams.Out)
	}
	return nil
}
