package links

import (
	"context"
	"time"
)

// Origin tells a handler where a request came from.
type Origin struct {
	// Link is the connection on which it came.
	Link Link
	// Waited is the time from its receipt until its handler ran.
	Waited time.Duration
}

// Link is a connection that another host opened.
type Link interface {
	// Ended reports whether the connection is closed.
	Ended() bool
	// HeardAt returns when bytes were last received on it.
	HeardAt() time.Time
}

type originKey struct{}

// WithOrigin returns a context that carries the origin of a request.
func WithOrigin(ctx context.Context, origin Origin) context.Context {
	return context.WithValue(ctx, originKey{}, origin)
}

// OriginOf returns the origin of a request. Its Link is nil if the request came from this
// process.
func OriginOf(ctx context.Context) Origin {
	origin, _ := ctx.Value(originKey{}).(Origin)
	return origin
}

// Ended implements Link.
func (inbound *inbound) Ended() bool { return inbound.ctx.Err() != nil }

// HeardAt implements Link.
func (inbound *inbound) HeardAt() time.Time { return time.Unix(0, inbound.heardAt.Load()) }
