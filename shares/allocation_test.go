package shares

import (
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// Guards against two daemons that each hold a share too small for their prompt,
// and against one daemon that starves the other.
func TestLargeRequestsAlternate(t *testing.T) {
	cfg := DefaultConfig(2)
	l, now := newServerAllocations(1), time.Unix(1_700_000_000, 0)
	limit := Amount{Attempts: 8, Tokens: 150_000}
	busy := map[gypsumshelf.DaemonID]time.Time{}
	served := map[gypsumshelf.DaemonID]int{}
	held := map[gypsumshelf.DaemonID]Amount{}
	for i := range 600 {
		now = now.Add(50 * time.Millisecond)
		d := []gypsumshelf.DaemonID{"d1", "d2"}[i%2]
		item := RequestItem{Held: held[d], Need: Amount{1, 100_000}, Want: Amount{4, 400_000}}
		if now.Before(busy[d]) {
			item.Running = Amount{1, 100_000}
			item.Need = Amount{2, 200_000}
		}
		held[d] = l.allocate(now, l.allocation(d), int64(i+1), item, limit, cfg)
		if !now.Before(busy[d]) && held[d].Tokens >= 100_000 {
			busy[d] = now.Add(400 * time.Millisecond)
			served[d]++
		}
	}
	t.Logf("prompts run in 30 s: %v", served)
	if served["d1"] < 20 || served["d2"] < 20 {
		t.Fatalf("prompts run in 30 s: %v, want at least 20 of each daemon", served)
	}
}
