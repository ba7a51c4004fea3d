package configs

import (
	"encoding/json"
	"fmt"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/settings"
)

// Command is an input of the state machine. Each log entry holds one command.
type Command interface{ CommandType() string }

// Action is the kind of change that an operator command makes.
type Action string

// Actions of operator commands.
const (
	ActionClassSet    Action = "class-set"
	ActionClassRemove Action = "class-remove"
	ActionTakeOut     Action = "data-centre-take-out"
	ActionBringBack   Action = "data-centre-bring-back"
	ActionNameAdd     Action = "name-add"
)

// Change is the configuration change that an operator requests. Only the fields
// that its action uses are set.
type Change struct {
	Action     Action               `json:"action"`
	Name       string               `json:"name,omitempty"`        // class or data centre
	FirstToken settings.Duration    `json:"first-token,omitempty"` // class-set
	Finish     settings.Duration    `json:"finish,omitempty"`      // class-set
	Kind       gypsumshelf.NameKind `json:"kind,omitempty"`        // name-add, as are the fields below
	Canonical  string               `json:"canonical,omitempty"`
	Scheme     string               `json:"scheme,omitempty"`
	Alias      string               `json:"alias,omitempty"`
}

// String returns the change in the syntax of the operator command line.
func (c Change) String() string {
	switch c.Action {
	case ActionClassSet:
		return fmt.Sprintf("class set %s --first-token %s --finish %s", c.Name, c.FirstToken.Std(), c.Finish.Std())
	case ActionClassRemove:
		return "class remove " + c.Name
	case ActionTakeOut:
		return "data-centre take-out " + c.Name
	case ActionBringBack:
		return "data-centre bring-back " + c.Name
	case ActionNameAdd:
		return fmt.Sprintf("name add %s %s %s %s", c.Kind, c.Canonical, c.Scheme, c.Alias)
	}
	return string(c.Action)
}

// OperatorCommand is an operator command. It is refused when its Revision is
// not the current one.
type OperatorCommand struct {
	CommandID string               `json:"command-id"`
	Operator  string               `json:"operator"`
	Revision  gypsumshelf.Revision `json:"revision"` // revision on which the change is based
	Change    Change               `json:"change"`
}

// RunKey identifies a non-idempotent request.
type RunKey struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
}

// BeginRun records a non-idempotent request before it is sent to a backend
// server. It is idempotent: the same Run of the same Owner is accepted again.
type BeginRun struct {
	RunKey
	Run       string               `json:"run"` // unique id of the run, such as the request id
	BodyHash  uint64               `json:"body-hash"`
	Owner     gypsumshelf.DaemonID `json:"owner"`
	Retention settings.Duration    `json:"keep"` // retention of the record, counted from its creation
}

// Outcome is the recorded result of a non-idempotent request.
type Outcome struct {
	Verdict     gypsumshelf.Verdict `json:"verdict"`
	Status      int                 `json:"status"`
	ContentType string              `json:"content-type,omitempty"`
	Body        []byte              `json:"body,omitempty"`
	BodyOmitted bool                `json:"body-omitted,omitempty"` // the body was longer than MaxOutcomeBytes
}

// FinishRun records the outcome of a run. Only the first outcome is kept; later
// ones are ignored.
type FinishRun struct {
	RunKey
	Run     string  `json:"run"`
	Outcome Outcome `json:"outcome"`
}

// Quarantine refuses all requests with a body hash for a limited time.
type Quarantine struct {
	BodyHash uint64            `json:"body-hash"`
	Reason   string            `json:"reason"`
	Duration settings.Duration `json:"keep"`
}

// LiftQuarantine ends a quarantine before its expiry.
type LiftQuarantine struct {
	BodyHash uint64 `json:"body-hash"`
}

// AdvanceEpoch raises a fencing epoch from From to From+1 for Owner. It is
// idempotent: a repeated command of the same owner is accepted again.
type AdvanceEpoch struct {
	Name  string               `json:"name"`
	From  uint64               `json:"from"`
	Owner gypsumshelf.DaemonID `json:"owner"`
}

// CommandType implements Command.
func (OperatorCommand) CommandType() string { return "operate" }

// CommandType implements Command.
func (BeginRun) CommandType() string { return "begin-run" }

// CommandType implements Command.
func (FinishRun) CommandType() string { return "finish-run" }

// CommandType implements Command.
func (Quarantine) CommandType() string { return "quarantine" }

// CommandType implements Command.
func (LiftQuarantine) CommandType() string { return "lift-quarantine" }

// CommandType implements Command.
func (AdvanceEpoch) CommandType() string { return "advance-epoch" }

// Entry is a log entry: a command and the proposal that it belongs to.
type Entry struct {
	Origin  gypsumshelf.DaemonID // daemon that proposed the command and awaits its result
	Token   string               // identifies the proposal on Origin
	Command Command
}

type entryJSON struct {
	Origin gypsumshelf.DaemonID `json:"origin"`
	Token  string               `json:"token"`
	Type   string               `json:"type"`
	Body   json.RawMessage      `json:"body"`
}

// Encode returns the kebab-case JSON of an entry.
func (e Entry) Encode() ([]byte, error) {
	body, err := json.Marshal(e.Command)
	if err != nil {
		return nil, fmt.Errorf("command %s cannot be encoded: %w", e.Command.CommandType(), err)
	}
	return json.Marshal(entryJSON{Origin: e.Origin, Token: e.Token, Type: e.Command.CommandType(), Body: body})
}

var decoders = map[string]func([]byte) (Command, error){
	OperatorCommand{}.CommandType(): decode[OperatorCommand],
	BeginRun{}.CommandType():        decode[BeginRun],
	FinishRun{}.CommandType():       decode[FinishRun],
	Quarantine{}.CommandType():      decode[Quarantine],
	LiftQuarantine{}.CommandType():  decode[LiftQuarantine],
	AdvanceEpoch{}.CommandType():    decode[AdvanceEpoch],
	IssueOrder{}.CommandType():      decode[IssueOrder],
	EndOrder{}.CommandType():        decode[EndOrder],
}

func decode[C Command](data []byte) (Command, error) {
	var c C
	err := json.Unmarshal(data, &c)
	return c, err
}

// DecodeEntry decodes an entry from its JSON. An unknown command type is an
// error.
func DecodeEntry(data []byte) (Entry, error) {
	var raw entryJSON
	if err := json.Unmarshal(data, &raw); err != nil {
		return Entry{}, fmt.Errorf("log entry is not valid JSON: %w", err)
	}
	dec := decoders[raw.Type]
	if dec == nil {
		return Entry{}, fmt.Errorf("log entry has unknown command type %q", raw.Type)
	}
	c, err := dec(raw.Body)
	if err != nil {
		return Entry{}, fmt.Errorf("command %s cannot be decoded: %w", raw.Type, err)
	}
	return Entry{Origin: raw.Origin, Token: raw.Token, Command: c}, nil
}
