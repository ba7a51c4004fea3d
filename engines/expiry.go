package engines

import (
	"context"
	"fmt"
	"net"
	"time"
)

type sendExpiryKey struct{}

// withSendExpiry returns a context in which no connection is used after t.
func withSendExpiry(ctx context.Context, t time.Time) context.Context {
	if t.IsZero() {
		return ctx
	}
	return context.WithValue(ctx, sendExpiryKey{}, t)
}

// rejectExpired returns dial with a check of the context's expiry once the
// connection is there, so that a daemon that was frozen after a decision does
// not carry it out.
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
