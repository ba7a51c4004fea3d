package daemons

import (
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/configs"
)

func TestMain(m *testing.M) {
	seed := os.Getenv("GYPSUMSHELF_SEED")
	if seed == "" {
		seed = "1"
	}
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": "500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	fmt.Println("GYPSUMSHELF_SEED", seed)
	os.Exit(m.Run())
}

// maxOperations bounds a history. With 12 operations, proving that a history is
// not linearizable took minutes.
const maxOperations = 8

// decision is the answer to one command in the specification.
type decision struct {
	id, name string
	code     configs.Code
	revision gypsumshelf.Revision
	winner   string // command id of the winner of a conflict
}

// observedDecision is the output of an operation, or unknown if its answer was lost.
type observedDecision struct {
	unknown bool
	decision
}

// specification is the sequential behavior of operator commands: the state is
// the list of decisions in order.
var specification = porcupine.Model{
	Init: func() any { return []decision(nil) },
	Step: func(state, input, output any) (bool, any) {
		want, next := decide(state.([]decision), input.(configs.OperatorCommand))
		out := output.(observedDecision)
		return out.unknown || want == out.decision, next
	},
	Equal: func(a, b any) bool { return slices.Equal(a.([]decision), b.([]decision)) },
}

func decide(state []decision, c configs.OperatorCommand) (decision, []decision) {
	var revision gypsumshelf.Revision
	winners := map[gypsumshelf.Revision]string{}
	for _, d := range state {
		if d.id == c.CommandID && d.name == c.Change.Name {
			return d, state
		}
		if d.code == "" {
			revision = d.revision
			winners[revision] = d.id
		}
	}
	for _, d := range state {
		if d.id == c.CommandID {
			return decision{id: c.CommandID, name: c.Change.Name, code: configs.CodeCommandIDReused, revision: revision}, state
		}
	}
	d := decision{id: c.CommandID, name: c.Change.Name, revision: revision + 1}
	if c.Revision != revision {
		d.code, d.revision, d.winner = configs.CodeConflict, revision, winners[c.Revision+1]
	}
	return d, append(slices.Clone(state), d)
}

// commandHistory is the history of the operators' commands.
type commandHistory struct {
	operations []porcupine.Operation
}

// draw returns a new command at a revision, or repeats an earlier one.
func (o *commandHistory) draw(t *rapid.T, revision gypsumshelf.Revision) configs.OperatorCommand {
	n := len(o.operations)
	if n > 0 && rapid.IntRange(0, 2).Draw(t, "resend") == 0 {
		c := o.operations[rapid.IntRange(0, n-1).Draw(t, "earlier")].Input.(configs.OperatorCommand)
		if rapid.IntRange(0, 5).Draw(t, "reuse") == 0 {
			c.Change.Name = "other"
		}
		return c
	}
	return configs.OperatorCommand{
		CommandID: fmt.Sprint("c", n), Operator: fmt.Sprint("operator-", n%3), Revision: revision,
		Change: configs.Change{Action: configs.ActionTakeOut, Name: fmt.Sprint("dc-", n)},
	}
}

// begin records the start of an operation and returns its event.
func (o *commandHistory) begin(now time.Time, c configs.OperatorCommand) configs.CommandProposed {
	n := len(o.operations)
	o.operations = append(o.operations, porcupine.Operation{
		ClientId: n, Input: c, Call: now.UnixNano(), Return: math.MaxInt64, Output: observedDecision{unknown: true},
	})
	return configs.CommandProposed{Ticket: uint64(n), Command: c, Timeout: 5 * time.Second}
}

// end records the answers among effects. An operation without one stays unknown.
func (o *commandHistory) end(now time.Time, effects []gypsumshelf.Effect) {
	for _, d := range effectsOf[configs.CommandDecided](effects) {
		if d.Err != nil {
			continue
		}
		op := &o.operations[d.Ticket]
		input := op.Input.(configs.OperatorCommand)
		out := decision{id: input.CommandID, name: input.Change.Name, code: d.Result.Code, revision: d.Result.Revision}
		if d.Result.Winner != nil {
			out.winner = d.Result.Winner.CommandID
		}
		op.Output, op.Return = observedDecision{decision: out}, now.UnixNano()
	}
}

// check asserts that the history is linearizable and returns the number of
// operations that were answered.
func (o *commandHistory) check(t *rapid.T) (answered int) {
	for _, op := range o.operations {
		if !op.Output.(observedDecision).unknown {
			answered++
		}
	}
	if result := porcupine.CheckOperationsTimeout(specification, o.operations, time.Minute); result != porcupine.Ok {
		t.Fatalf("history is not linearizable (%s):\n%s", result, describe(o.operations))
	}
	return answered
}

// forwardedProposal is a proposal in transit on a fake link.
type forwardedProposal struct {
	to gypsumshelf.DaemonID
	configs.Proposal
}

// commandSimulation runs operators against three reducers with fake links.
type commandSimulation struct {
	commandHistory
	t       *rapid.T
	now     time.Time
	group   *fakeGroup
	members []*testReducer
	links   []forwardedProposal
}

func newCommandSimulation(t *rapid.T) *commandSimulation {
	s := &commandSimulation{t: t, now: testStart, group: &fakeGroup{leader: "entry-1", term: 1}}
	for i := range 3 {
		s.members = append(s.members, newTestReducer(s.group, gypsumshelf.DaemonID(fmt.Sprintf("entry-%d", i+1))))
	}
	return s
}

func (s *commandSimulation) carry(effects []gypsumshelf.Effect) {
	for _, f := range effectsOf[configs.ForwardProposal](effects) {
		s.links = append(s.links, forwardedProposal{to: f.To, Proposal: f.Proposal})
	}
	s.end(s.now, effects)
}

func (s *commandSimulation) send() {
	m := s.members[rapid.IntRange(0, 2).Draw(s.t, "daemon")]
	s.carry(m.Step(s.now, s.begin(s.now, s.draw(s.t, m.configuration.state.Revision()))))
}

// deliver takes one message from the links. The message arrives, is lost, or
// arrives and stays on the link to arrive again.
func (s *commandSimulation) deliver() {
	if len(s.links) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.links)-1).Draw(s.t, "message")
	m := s.links[i]
	fate := rapid.IntRange(0, 4).Draw(s.t, "fate")
	if fate > 0 {
		s.links = slices.Delete(s.links, i, i+1)
	}
	if fate < 4 {
		s.carry(s.member(m.to).Step(s.now, configs.ProposalForwarded{Proposal: m.Proposal}))
	}
}

func (s *commandSimulation) member(id gypsumshelf.DaemonID) *testReducer {
	return s.members[slices.IndexFunc(s.members, func(m *testReducer) bool { return m.cfg.Daemon == id })]
}

func (s *commandSimulation) step() {
	s.now = s.now.Add(10 * time.Millisecond)
	switch rapid.IntRange(0, 11).Draw(s.t, "step") {
	case 0, 1:
		if len(s.operations) < maxOperations {
			s.send()
		}
	case 2, 3, 4:
		s.deliver()
	case 5, 6:
		s.group.commit()
	case 7, 8, 9:
		s.carry(s.members[rapid.IntRange(0, 2).Draw(s.t, "applies")].applyNext(s.now))
	case 10:
		s.now = s.now.Add(proposalRetryInterval)
		for _, m := range s.members {
			s.carry(m.Step(s.now, Tick{}))
		}
	case 11:
		s.group.lead(s.members[rapid.IntRange(0, 2).Draw(s.t, "leader")].cfg.Daemon, rapid.IntRange(0, 2).Draw(s.t, "kept"))
	}
}

// Guards against two commands accepted at one revision, a command applied twice
// and an answer that differs from the first one. Operators are concurrent and
// resend to other daemons, messages are lost and leaders change.
func TestOperatorCommandsAreLinearizable(t *testing.T) {
	answered := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newCommandSimulation(t)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			s.step()
		}
		for range s.group.entries {
			s.group.commit()
			for _, m := range s.members {
				s.carry(m.applyNext(s.now))
			}
		}
		answered += s.check(t)
	})
	if answered == 0 {
		t.Fatal("no command was answered")
	}
	t.Logf("%d commands were answered", answered)
}

func describe(history []porcupine.Operation) (text string) {
	for _, op := range history {
		text += fmt.Sprintf("%d..%d %s %s at revision %d: %+v\n", op.Call, op.Return, op.Input.(configs.OperatorCommand).CommandID, op.Input.(configs.OperatorCommand).Change,
			op.Input.(configs.OperatorCommand).Revision, op.Output)
	}
	return text
}
