package engines

import (
	"context"
	"fmt"
	"net"
	"time"
)

type sendExpiryKey struct{}

// withSendExpiry returns a context in which rejectExpired rejects connections
// after t; a zero t sets no expiry.
func withSendExpiry(ctx context.Context, t time.Time) context.Context {
	if t.IsZero() {
		return ctx
	}
	return context.WithValue(ctx, sendExpiryKey{}, t)
}

// rejectExpired wraps dial and closes a connection that is established after the
// context's send expiry, so that a daemon that was frozen after a decision does not
// act on it when it resumes.
func rejectExpired(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if t, ok := ctx.Value(sendExpiryKey{}).(time.Time); ok && !time.Now().Before(t) {
			conn.Close()
			return nil, fmt.Errorf("the decision to send expired %s ago", time.Since(t))
		}
		return conn, nil
	}
}
