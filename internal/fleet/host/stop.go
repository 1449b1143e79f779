package host

import (
	"context"
	"time"

	"damaskcrank.example/damaskcrank/internal/control/state"
)

const (
	// redTime is how long the health check is red before the callers' listener
	// closes.
	redTime  = time.Second
	stopPoll = 20 * time.Millisecond
)

// Stop shuts the host down without cutting a request: the health check turns
// red, shards and control leadership move to other hosts, the callers' listener
// closes, what runs ends, and the session is closed.
func (host *Host) Stop(ctx context.Context) error {
	host.draining.Store(true)
	host.options.Log.Info(logPrefix + "shutting down")
	red := host.options.Clock.After(redTime)
	host.leave(ctx)
	select {
	case <-red:
	case <-ctx.Done():
	}
	err := host.callers.Shutdown(ctx)
	if err != nil {
		err = Error.New("close callers' listener: %w", err)
	}
	host.purses.Close()
	host.closeSession(ctx)
	if host.node != nil {
		host.node.HandOver()
	}
	host.Kill()
	return err
}

// leave announces the shutdown and waits until other hosts have the shards.
func (host *Host) leave(ctx context.Context) {
	epoch := host.pulse.Epoch()
	if epoch == 0 || !host.hasOthers() {
		return
	}
	name := host.options.Settings.Host.Name
	if _, err := host.client.Propose(ctx, state.DrainSession{Host: name, Epoch: epoch}); err != nil {
		host.options.Log.WithError(err).Warn(logPrefix + "the shutdown could not be announced")
		return
	}
	if host.node != nil {
		host.node.HandOver()
	}
	for host.holdsShards(epoch) && host.hasOthers() {
		select {
		case <-ctx.Done():
			return
		case <-host.options.Clock.After(stopPoll):
		}
	}
}

// hasOthers tells whether another host could take this one's shards.
func (host *Host) hasOthers() bool {
	for name, session := range host.follower.Catalog().Sessions {
		if name != host.options.Settings.Host.Name && !session.Draining {
			return true
		}
	}
	return false
}

func (host *Host) holdsShards(epoch uint64) bool {
	for _, held := range host.follower.Catalog().Shards {
		if held.Session == epoch && held.Host != "" {
			return true
		}
	}
	return false
}

// closeSession ends the session so that nobody waits for its lease.
func (host *Host) closeSession(ctx context.Context) {
	epoch := host.pulse.Epoch()
	if epoch == 0 || !host.hasOthers() {
		return
	}
	command := state.CloseSession{Host: host.options.Settings.Host.Name, Epoch: epoch}
	if _, err := host.client.Propose(ctx, command); err != nil {
		host.options.Log.WithError(err).Warn(logPrefix + "the session could not be closed")
	}
}

// Kill ends the host at once, as a crash would, but leaves no task behind.
func (host *Host) Kill() {
	host.ended.Do(host.kill)
}

func (host *Host) kill() {
	close(host.stop)
	// Control ends first, as in a crash: a leader that lived on without its
	// peer port would take all other hosts for lost.
	if host.node != nil {
		if err := host.node.Close(); err != nil {
			host.options.Log.WithError(err).Warn(logPrefix + "control ended with an error")
		}
	}
	if host.callers != nil {
		_ = host.callers.Close()
	}
	if host.opers != nil {
		_ = host.opers.Close()
	}
	if host.server != nil {
		_ = host.server.Close()
	}
	if host.duties != nil {
		host.duties.Close()
	}
	if host.purses != nil {
		host.purses.Close()
	}
	if host.links != nil {
		_ = host.links.Close()
	}
	if host.steward != nil {
		host.steward.Close()
	}
	if host.client != nil {
		// Ends the fetch that may be waiting for news.
		host.client.Close()
	}
	host.tasks.Wait()
	if host.upstream != nil {
		host.upstream.Close()
	}
}
