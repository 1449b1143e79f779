package admin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"damaskcrank.example/damaskcrank/internal/base/codec"
	"damaskcrank.example/damaskcrank/internal/control/group"
	"damaskcrank.example/damaskcrank/internal/control/raft"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/dispatch/calls"
	"damaskcrank.example/damaskcrank/internal/dispatch/upstr"
	"damaskcrank.example/damaskcrank/internal/peer/links"
)

const (
	maxRequestBytes     = 16 << 10
	announceTimeout     = 2 * time.Second
	memberTimeout       = 30 * time.Second
	memberRetryInterval = 50 * time.Millisecond
	// memberAttemptTimeout bounds one attempt of a membership change. An attempt
	// fails while a new member catches up, and if the change was already made.
	memberAttemptTimeout = 300 * time.Millisecond
)

// announce handles the announcement of an upstream. It is committed to the
// catalog only if it changes the upstream's entry; otherwise it is forwarded to
// the upstream's primary as a load report.
func (admin *Admin) announce(writer http.ResponseWriter, request *http.Request) {
	data, err := io.ReadAll(io.LimitReader(request.Body, maxRequestBytes))
	if err != nil {
		writeJSON(writer, http.StatusBadRequest, ErrorReply{Error: "the announcement could not be read"})
		return
	}
	var announcement upstr.Announcement
	if err := json.Unmarshal(data, &announcement); err != nil {
		writeJSON(writer, http.StatusBadRequest, ErrorReply{Error: "the announcement is no JSON: " + err.Error()})
		return
	}
	if err := admin.processAnnouncement(request.Context(), announcement); err != nil {
		writeJSON(writer, http.StatusUnprocessableEntity, ErrorReply{Error: err.Error()})
		return
	}
	writeJSON(writer, http.StatusOK, struct{}{})
}

func (admin *Admin) processAnnouncement(ctx context.Context, announcement upstr.Announcement) error {
	upstream, err := announcement.Upstream()
	if err != nil {
		return Error.New("announcement: %w", err)
	}
	catalog := admin.Catalogs.Catalog()
	if _, ok := catalog.Service(upstream.ID.Service); !ok {
		return Error.New("service %s does not exist", upstream.ID.Service)
	}
	current, known := catalog.Upstreams[upstream.ID]
	if known && current.SameProcess(upstream) {
		admin.forwardLoad(ctx, catalog, announcement)
		return nil
	}
	now := admin.Clock.Now()
	loss, lost := catalog.Losses[upstream.ID]
	if lost && loss.Incarnation == upstream.Incarnation && now.Before(loss.ReadmitAt()) {
		return Error.New("upstream %s stopped answering a moment ago and is let in again at %s", upstream.ID, loss.ReadmitAt())
	}
	upstream.SeenAt = now
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if _, err := admin.Control.Propose(ctx, state.RegisterUpstream{Upstream: upstream}); err != nil {
		return Error.New("enter upstream: %w", err)
	}
	admin.Log.Infof(logPrefix+"upstream %s announced itself at %s", upstream.ID, upstream.Address)
	return nil
}

// forwardLoad sends a load report to the upstream's primary: the host of the
// upstream's own dispatch shard or, if there is none, of the service's. Delivery
// is best effort, since the upstream announces again about once a second.
func (admin *Admin) forwardLoad(ctx context.Context, catalog *state.Catalog, announcement upstr.Announcement) {
	assignment, ok := catalog.Shards[state.DispatchShard(announcement.Service, announcement.Name)]
	if !ok {
		assignment = catalog.Shards[state.DispatchShard(announcement.Service, "")]
	}
	if assignment.Host == admin.Host {
		admin.Shards.ReportLoad(announcement)
		return
	}
	session, ok := catalog.Sessions[assignment.Host]
	if !ok {
		return
	}
	head, err := codec.Marshal(announcement)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	_, _ = admin.Links.Call(ctx, session.Host.Peer, links.Payload{Kind: calls.KindLoad, Head: head})
}

// HandleLoad handles a load report that another host forwarded.
func (admin *Admin) HandleLoad(payload links.Payload) (links.Payload, error) {
	var announcement upstr.Announcement
	if err := codec.Unmarshal(payload.Head, &announcement); err != nil {
		return links.Payload{}, Error.New("decode load report: %w", err)
	}
	admin.Shards.ReportLoad(announcement)
	return links.Payload{Kind: calls.KindLoad, Head: codec.Raw{0xf6}}, nil
}

// MemberArgs is the request body of a membership change of the control group.
type MemberArgs struct {
	// Action is add, remove or replace.
	Action string `json:"action"`
	// Address is the control address of the host to add; it is not used by remove.
	Address netip.AddrPort `json:"address"`
	// ID is the member to remove; it is not used by add.
	ID raft.MemberID `json:"id"`
}

// MemberReply lists the members of the control group after the change.
type MemberReply struct {
	Members []group.MemberStatus `json:"members"`
}

// changeMember adds, removes or replaces a control host. If it adds one, it
// returns only when that member is a voter and holds the whole committed log,
// since another member may be lost right after.
func (admin *Admin) changeMember(operator string, request *http.Request) (any, error) {
	var args MemberArgs
	if err := json.NewDecoder(io.LimitReader(request.Body, maxRequestBytes)).Decode(&args); err != nil {
		return nil, statusErrorf(http.StatusBadRequest, "read request: %w", err)
	}
	ctx, cancel := context.WithTimeout(request.Context(), memberTimeout)
	defer cancel()
	if args.Action != "add" && args.Action != "remove" && args.Action != "replace" {
		return nil, statusErrorf(http.StatusBadRequest, "action %q is none of add, remove, replace", args.Action)
	}
	if args.Action != "remove" {
		if err := admin.addMember(ctx, args.Address); err != nil {
			return nil, statusErrorf(http.StatusServiceUnavailable, "%w", err)
		}
	}
	if args.Action != "add" {
		if err := admin.retryChange(ctx, group.ChangeArgs{Kind: group.ChangeRemove, Member: raft.Member{ID: args.ID}}); err != nil {
			return nil, statusErrorf(http.StatusServiceUnavailable, "remove %s: %w", args.ID, err)
		}
	}
	admin.Log.WithField("operator", operator).Infof(logPrefix+"changed the control group's membership: %s", args.Action)
	status, err := admin.Control.LeaderStatus(ctx)
	if err != nil {
		return nil, statusErrorf(http.StatusServiceUnavailable, "%w", err)
	}
	return MemberReply{Members: status.Members}, nil
}

func (admin *Admin) addMember(ctx context.Context, address netip.AddrPort) error {
	if !address.IsValid() {
		return Error.New("the address of the new control host is missing")
	}
	hello, err := admin.Control.Hello(address)
	if err != nil {
		return Error.New("greet %s: %w", address, err)
	}
	member := raft.Member{ID: hello.ID, Address: address}
	if err := admin.retryChange(ctx, group.ChangeArgs{Kind: group.ChangeAdd, Member: member}); err != nil {
		return Error.New("add %s: %w", member.ID, err)
	}
	if err := admin.retryChange(ctx, group.ChangeArgs{Kind: group.ChangePromote, Member: member}); err != nil {
		return Error.New("promote %s: %w", member.ID, err)
	}
	return nil
}

// retryChange repeats a membership change until the leader's status shows it.
func (admin *Admin) retryChange(ctx context.Context, args group.ChangeArgs) error {
	for {
		attemptCtx, cancel := context.WithTimeout(ctx, memberAttemptTimeout)
		_, err := admin.Control.Change(attemptCtx, args)
		cancel()
		if status, statusErr := admin.Control.LeaderStatus(ctx); statusErr == nil && changeApplied(status, args) {
			return nil
		}
		select {
		case <-ctx.Done():
			return Error.New("%w: %w", ctx.Err(), err)
		case <-admin.Clock.After(memberRetryInterval):
		}
	}
}

// changeApplied reports whether the membership reflects the change. A promoted
// voter must also hold all committed entries.
func changeApplied(status group.Status, args group.ChangeArgs) bool {
	for _, member := range status.Members {
		if member.ID != args.Member.ID {
			continue
		}
		switch args.Kind {
		case group.ChangeAdd:
			return true
		case group.ChangePromote:
			return member.Voter && member.Match >= status.Commit
		default:
			return false
		}
	}
	return args.Kind == group.ChangeRemove
}

// MoveArgs is the request body that assigns a single key to an upstream.
type MoveArgs struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	To      string `json:"to"`
}

// moveKey assigns a single key to an upstream, apart from the key's partition,
// and returns when the move is complete.
func (admin *Admin) moveKey(operator string, request *http.Request) (any, error) {
	var args MoveArgs
	if err := json.NewDecoder(io.LimitReader(request.Body, maxRequestBytes)).Decode(&args); err != nil {
		return nil, statusErrorf(http.StatusBadRequest, "read request: %w", err)
	}
	catalog := admin.Catalogs.Catalog()
	table, ok := catalog.Tables[args.Service]
	if !ok || args.Key == "" {
		return nil, statusErrorf(http.StatusNotFound, "service %s has no key %q to move", args.Service, args.Key)
	}
	if _, ok := catalog.Upstreams[state.UpstreamID{Service: args.Service, Name: args.To}]; !ok {
		return nil, statusErrorf(http.StatusNotFound, "upstream %s/%s does not exist", args.Service, args.To)
	}
	ctx, cancel := context.WithTimeout(request.Context(), applyTimeout)
	defer cancel()
	slot := state.Slot{Key: args.Key}
	move := state.SlotMove{Slot: slot, Token: table.Keys[args.Key].Token, To: args.To}
	if _, err := admin.Control.Propose(ctx, state.MoveSlots{Service: args.Service, Moves: []state.SlotMove{move}}); err != nil {
		return nil, statusErrorf(http.StatusServiceUnavailable, "move key: %w", err)
	}
	admin.Log.WithField("operator", operator).Infof(logPrefix+"moving key %q of service %s to upstream %s", args.Key, args.Service, args.To)
	for {
		owner, _ := admin.Catalogs.Catalog().Tables[args.Service].Get(slot)
		if owner.Upstream == args.To && owner.MovingTo == "" {
			return owner, nil
		}
		select {
		case <-ctx.Done():
			return nil, statusErrorf(http.StatusServiceUnavailable, "the key has not moved yet: %w", ctx.Err())
		case <-admin.Clock.After(pollInterval):
		}
	}
}
