package routes

import (
	"testing"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

func prompt(tokens int) gypsumshelf.Request {
	return gypsumshelf.Request{ID: "r", PromptTokens: tokens, Class: gypsumshelf.Class{Target: gypsumshelf.Target{FirstToken: time.Second, Finish: time.Minute}}}
}

// Guards against policies that choose a server without room or ignore their own
// criterion.
func TestChoose(t *testing.T) {
	for _, c := range []struct {
		name, policy string
		tokens       int
		candidates   []Candidate
		want         int // -1 for none
	}{
		{"fewest tokens with room", LeastLoaded, 1000, []Candidate{{Tokens: 1}, {Tokens: 9, HasRoom: true}, {Tokens: 5, HasRoom: true}}, 2},
		{"no room", RoundRobin, 1000, []Candidate{{}, {}}, -1},
		{"no candidate", EarliestDeadline, 1000, nil, -1},
		{"earliest first token", EarliestDeadline, 1000, []Candidate{{HasRoom: true, TokensAhead: 9000}, {HasRoom: true}}, 1},
		{"warm cache", EarliestDeadline, 8000, []Candidate{{HasRoom: true, CachedTokens: 7000, TokensAhead: 2000}, {HasRoom: true}}, 0},
		{"warm cache with too much load", EarliestDeadline, 8000, []Candidate{{HasRoom: true, CachedTokens: 7000, TokensAhead: 9000}, {HasRoom: true}}, 1},
		{"bound on long work", EarliestDeadline, 300_000, []Candidate{{HasRoom: true, LongTokens: 100_000}, {HasRoom: true, TokensAhead: 900_000}}, 1},
		{"short beside long work", EarliestDeadline, 1000, []Candidate{{HasRoom: true, LongTokens: 900_000}}, 0},
		{"long prompt kept apart", LengthSeparation, 100_000, []Candidate{{Server: "a"}, {Server: "b", HasRoom: true}}, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, err := New(c.policy)
			if err != nil {
				t.Fatal(err)
			}
			i, ok := p.Choose(time.Unix(0, 0), prompt(c.tokens), c.candidates)
			if ok != (c.want >= 0) || ok && i != c.want {
				t.Fatalf("chose %d, %v, want %d", i, ok, c.want)
			}
		})
	}
}

// Guards against a long prompt that precedes every short one on an engine, and
// against one that is due only after its finish time.
func TestDue(t *testing.T) {
	long, short := prompt(1_000_000), prompt(1000)
	short.Arrived = long.Arrived.Add(20 * time.Second)
	if !Due(short, 10*time.Millisecond).Before(Due(long, 10*time.Second)) {
		t.Fatal("a prompt of 1,000,000 tokens is due before a short one")
	}
	if !Due(long, 10*time.Second).Before(long.Deadline()) {
		t.Fatal("a long prompt is due after its finish time")
	}
}
