package forwards

import (
	"context"
	"time"
)

// MemoryReserver reserves and releases engine memory.
type MemoryReserver interface {
	// Reserve reserves memory under an ID for the duration hold, or renews the
	// reservation. It reports false when not enough memory is free.
	Reserve(ctx context.Context, address, id string, tokens int, hold time.Duration) (bool, error)
	// Release releases the memory reserved under an ID.
	Release(ctx context.Context, address, id string) error
}
