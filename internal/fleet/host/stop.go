package host

import (
	"context"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/state"
)

const (
	// unreadyTime is how long the health check fails before the callers' listener
	// closes.
	unreadyTime       = time.Second
	drainPollInterval = 20 * time.Millisecond
)

// Stop shuts the host down without cutting off running requests: the health check
// fails, shards and control leadership move to other hosts, the callers' listener
// closes, running requests finish, and the session is closed.
func (host *Host) Stop(ctx context.Context) error {
	host.draining.Store(true)
	host.options.Log.Info(logPrefix + "shutting down the host")
	unreadyElapsed := host.options.Clock.After(unreadyTime)
	host.drainShards(ctx)
	select {
	case <-unreadyElapsed:
	case <-ctx.Done():
	}
	err := host.callersListener.Drain(ctx)
	if err != nil {
		err = Error.New("close callers' listener: %w", err)
	}
	host.limiters.Close()
	host.closeSession(ctx)
	if host.node != nil {
		host.node.TransferLeadership()
	}
	host.Kill()
	return err
}

// drainShards announces the shutdown and waits until other hosts hold this host's
// shards.
func (host *Host) drainShards(ctx context.Context) {
	epoch := host.lease.Epoch()
	if epoch == 0 || !host.hasOtherHosts() {
		return
	}
	name := host.options.Settings.Host.Name
	if _, err := host.client.Propose(ctx, state.DrainSession{Host: name, Epoch: epoch}); err != nil {
		host.options.Log.WithError(err).Warn(logPrefix + "announcing the shutdown failed")
		return
	}
	if host.node != nil {
		host.node.TransferLeadership()
	}
	for host.holdsShards(epoch) && host.hasOtherHosts() {
		select {
		case <-ctx.Done():
			return
		case <-host.options.Clock.After(drainPollInterval):
		}
	}
}

// hasOtherHosts reports whether another host could take over this host's shards.
func (host *Host) hasOtherHosts() bool {
	for name, session := range host.follower.Catalog().Sessions {
		if name != host.options.Settings.Host.Name && !session.Draining {
			return true
		}
	}
	return false
}

func (host *Host) holdsShards(epoch uint64) bool {
	for _, shard := range host.follower.Catalog().Shards {
		if shard.Session == epoch && shard.Host != "" {
			return true
		}
	}
	return false
}

// closeSession ends the session, so that its shards can move before its lease expires.
func (host *Host) closeSession(ctx context.Context) {
	epoch := host.lease.Epoch()
	if epoch == 0 || !host.hasOtherHosts() {
		return
	}
	command := state.CloseSession{Host: host.options.Settings.Host.Name, Epoch: epoch}
	if _, err := host.client.Propose(ctx, command); err != nil {
		host.options.Log.WithError(err).Warn(logPrefix + "closing the session failed")
	}
}

// Kill stops the host immediately, as a crash would, but waits until all its
// goroutines have ended.
func (host *Host) Kill() {
	host.killOnce.Do(host.kill)
}

func (host *Host) kill() {
	close(host.stop)
	// Stop the control node first, as in a crash: a leader that kept running
	// without its peer port would get no heartbeats and take all other hosts for
	// failed.
	if host.node != nil {
		if err := host.node.Close(); err != nil {
			host.options.Log.WithError(err).Warn(logPrefix + "the control node ended with an error")
		}
	}
	if host.callers != nil {
		_ = host.callers.Close()
	}
	if host.operators != nil {
		_ = host.operators.Close()
	}
	if host.server != nil {
		_ = host.server.Close()
	}
	if host.shards != nil {
		host.shards.Close()
	}
	if host.limiters != nil {
		host.limiters.Close()
	}
	if host.links != nil {
		_ = host.links.Close()
	}
	if host.planner != nil {
		host.planner.Close()
	}
	if host.client != nil {
		// This aborts a fetch that may be waiting for changes.
		host.client.Close()
	}
	host.tasks.Wait()
	if host.upstreams != nil {
		host.upstreams.Close()
	}
}
