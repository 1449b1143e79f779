package pool

import (
	"net/http"
	"net/netip"
	"slices"
	"time"
)

// takeIdle removes and returns the most recently used idle connection that has not carried
// a request whose ID has the hash, or nil if there is none.
func (pool *Pool) takeIdle(address netip.AddrPort, hash uint64) *conn {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	idle := pool.idle[address]
	for position, connection := range slices.Backward(idle) {
		if !slices.Contains(connection.carried, hash) {
			pool.idle[address] = slices.Delete(idle, position, position+1)
			return connection
		}
	}
	return nil
}

// put returns a connection to the pool, or closes it if the pool is closed or full.
func (pool *Pool) put(address netip.AddrPort, connection *conn, header http.Header) {
	now := pool.Clock.Now()
	connection.reusableUntil, connection.heardAt = now.Add(idleTime(header)), now
	connection.reused = connection.reused || header != nil
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.closed || len(pool.idle[address]) >= maxIdle {
		_ = connection.Close()
		return
	}
	if pool.idle == nil {
		pool.idle = map[netip.AddrPort][]*conn{}
	}
	pool.idle[address] = append(pool.idle[address], connection)
	if pool.sweeper == nil {
		pool.sweeper = pool.Clock.AfterFunc(sweepInterval, pool.sweep)
	}
}

// sweep closes the idle connections that can't be reused: they are too old, closed by
// the upstream, or hold bytes that it sent without a request. It runs once per
// sweepInterval while any connection is idle.
func (pool *Pool) sweep() {
	for _, address := range pool.sweepIdle(pool.Clock.Now()) {
		pool.reportUnexpected(address)
	}
}

// sweepIdle returns the addresses of the connections that held unexpected bytes.
func (pool *Pool) sweepIdle(now time.Time) []netip.AddrPort {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	var unexpected []netip.AddrPort
	for address, idle := range pool.idle {
		kept := idle[:0]
		for _, connection := range idle {
			state := connection.state()
			if now.Before(connection.reusableUntil) && state == stateUsable {
				kept = append(kept, connection)
				continue
			}
			_ = connection.Close()
			if state == stateUnexpected {
				unexpected = append(unexpected, address)
			}
		}
		pool.idle[address] = kept
		if len(kept) == 0 {
			delete(pool.idle, address)
		}
	}
	pool.sweeper = nil
	if len(pool.idle) > 0 {
		pool.sweeper = pool.Clock.AfterFunc(sweepInterval, pool.sweep)
	}
	return unexpected
}

// CloseIdle closes the idle connections to an address whose upstream is gone.
func (pool *Pool) CloseIdle(address netip.AddrPort) {
	pool.mutex.Lock()
	idle := pool.idle[address]
	delete(pool.idle, address)
	pool.mutex.Unlock()
	for _, connection := range idle {
		_ = connection.Close()
	}
}

// idleTime returns how long a connection may be reused after a response with the
// header.
func idleTime(header http.Header) time.Duration {
	timeout, ok := keepAlive(header.Get("Keep-Alive"))
	if !ok {
		return defaultIdleTime
	}
	return timeout * reuseTenths / 10
}
