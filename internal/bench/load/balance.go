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

// balancer stands for the platform's: it sends requests to the hosts whose
// health check answered last time.
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

// pick returns the target for a request: the one in turn, or the next that is
// up.
func (balancer *balancer) pick(number int) (int, netip.AddrPort) {
	for offset := range balancer.targets {
		position := (number + offset) % len(balancer.targets)
		if !balancer.down[position].Load() {
			return position, balancer.targets[position]
		}
	}
	position := number % len(balancer.targets)
	return position, balancer.targets[position]
}

// watch checks the hosts' health until the context ends.
func (balancer *balancer) watch(ctx context.Context) {
	for position := range balancer.health {
		go balancer.watchOne(ctx, position)
	}
}

func (balancer *balancer) watchOne(ctx context.Context, position int) {
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
