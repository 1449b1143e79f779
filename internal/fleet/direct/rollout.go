package direct

import (
	"context"
	"errors"
	"time"

	"damaskcrank.example/damaskcrank/internal/base/conf"
	"damaskcrank.example/damaskcrank/internal/control/canary"
	"damaskcrank.example/damaskcrank/internal/control/group"
	"damaskcrank.example/damaskcrank/internal/control/state"
	"damaskcrank.example/damaskcrank/internal/control/steer"
	"damaskcrank.example/damaskcrank/internal/peer/trust"
)

// ErrRolloutsNotReady is returned for an order of a rollout while some control hosts are of a
// version that does not know rollouts.
var ErrRolloutsNotReady = Error.New("not all control hosts use a format of the log that has rollouts")

// rolloutsOff is the detail of orders where the settings have no bounds of rollouts.
const rolloutsOff = "rollouts are off: the settings have no bounds.exposure"

// rolloutOptions returns the leader's options for rollouts.
func rolloutOptions(options Options) steer.RolloutOptions {
	bounds := options.Settings.Bounds
	return steer.RolloutOptions{
		Bounds: canary.Bounds{Exposure: bounds.Exposure, Rollback: time.Duration(bounds.Rollback)}, Stats: options.Stats,
	}
}

// StartRollout orders that the requests to a service move to a version. The order is committed
// if the outcome is state.OutcomeDone.
func (control *Control) StartRollout(ctx context.Context, order state.StartRollout) (state.Result, error) {
	line := control.options.Log.WithField("service", order.Service).WithField("target", order.Target).
		WithField("duration", order.Duration.String())
	result, err := control.startRollout(ctx, order)
	if err != nil {
		line.WithError(err).Warn(logPrefix + "did not start a rollout, or its outcome is unknown")
		return result, err
	}
	line.WithField("outcome", string(result.Outcome)).WithField("detail", result.Detail).WithField("version", result.Index).
		Info(logPrefix + "processed the order of a rollout")
	return result, nil
}

func (control *Control) startRollout(ctx context.Context, order state.StartRollout) (state.Result, error) {
	if control.options.Settings.Bounds.Exposure <= 0 {
		return state.Result{Outcome: state.OutcomeInvalid, Detail: rolloutsOff}, nil
	}
	// The group's format is known here once what was committed before is applied.
	if _, err := control.readCatalog(ctx); err != nil {
		return state.Result{}, err
	}
	if control.node.Status().Format < state.FormatRollouts {
		return state.Result{}, ErrRolloutsNotReady
	}
	return control.order(ctx, settleTime, order)
}

// Rollout returns the latest rollout of a service. The read is linearizable.
func (control *Control) Rollout(ctx context.Context, service string) (state.Rollout, error) {
	catalog, err := control.readCatalog(ctx)
	if err != nil {
		return state.Rollout{}, err
	}
	return catalog.Rollouts[service], nil
}

// OrderRollout is StartRollout for a process that is no control host.
func OrderRollout(ctx context.Context, settings conf.DirectSettings, order state.StartRollout) (state.Result, error) {
	client := group.NewClient(settings.ControlHosts(), trust.Secret(settings.Peer.Secret))
	defer client.Close()
	for {
		ticket, err := client.Ticket(ctx)
		if err != nil {
			return state.Result{}, Error.New("order a rollout of %q: %w", order.Service, err)
		}
		// The leader knows whether the order can be carried out now.
		reply, err := group.CallLeader[steer.RolloutsReply](ctx, client, "Steer.Rollouts", steer.RolloutsArgs{})
		switch {
		case err != nil:
			return state.Result{}, Error.New("order a rollout of %q: %w", order.Service, err)
		case !reply.Enabled:
			return state.Result{}, Error.New("order a rollout of %q: rollouts are off, or %w", order.Service, ErrRolloutsNotReady)
		}
		result, err := client.ProposeWithTicket(ctx, ticket, order)
		switch {
		case errors.Is(err, group.ErrStaleTicket):
		case err != nil:
			return state.Result{}, Error.New("order a rollout of %q: %w", order.Service, err)
		default:
			return result, nil
		}
	}
}

// Rollouts returns the latest rollouts by service, to a process that is no control host. The
// read is linearizable.
func Rollouts(ctx context.Context, settings conf.DirectSettings) (map[string]state.Rollout, error) {
	client := group.NewClient(settings.ControlHosts(), trust.Secret(settings.Peer.Secret))
	defer client.Close()
	reply, err := group.CallLeader[steer.RolloutsReply](ctx, client, "Steer.Rollouts", steer.RolloutsArgs{})
	if err != nil {
		return nil, Error.New("read rollouts: %w", err)
	}
	return reply.Rollouts, nil
}
