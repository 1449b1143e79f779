package load

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

const (
	healthInterval = 200 * time.Millisecond
	healthTimeout  = 500 * time.Millisecond
)

// balancer simulates the platform's load balancer: it sends requests to the
// hosts whose last health check succeeded.
type balancer struct {
	targets []netip.AddrPort
	health  []netip.AddrPort
	down    []atomic.Bool
	client  *http.Client
}

func newBalancer(targets, health []netip.AddrPort) *balancer {
	return &balancer{
		targets: targets, health: health, down: make([]atomic.Bool, len(targets)),
		client: &http.Client{Timeout: healthTimeout},
	}
}

// pickTarget chooses the target of a request in round-robin order, skipping hosts
// that are down. If all are down, it ignores the health checks.
func (balancer *balancer) pickTarget(number int) (int, netip.AddrPort) {
	for offset := range balancer.targets {
		position := (number + offset) % len(balancer.targets)
		if !balancer.down[position].Load() {
			return position, balancer.targets[position]
		}
	}
	position := number % len(balancer.targets)
	return position, balancer.targets[position]
}

// watch polls the health of all hosts in the background until ctx is cancelled.
func (balancer *balancer) watch(ctx context.Context) {
	for position := range balancer.health {
		go balancer.watchHost(ctx, position)
	}
}

func (balancer *balancer) watchHost(ctx context.Context, position int) {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	url := "http://" + balancer.health[position].String() + "/healthz"
	for {
		balancer.down[position].Store(!balancer.healthy(ctx, url))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (balancer *balancer) healthy(ctx context.Context, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	response, err := balancer.client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}
