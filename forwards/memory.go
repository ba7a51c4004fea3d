package forwards

import (
	"context"
	"time"
)

// Orders reserves memory of engines.
type Orders interface {
	// Reserve reserves memory under an ID for a time, or renews it. It reports
	// false when the memory is not free.
	Reserve(ctx context.Context, address, id string, tokens int, hold time.Duration) (bool, error)
	// Release gives up what is reserved under an ID.
	Release(ctx context.Context, address, id string) error
}
