package configs

import (
	"fmt"
	"time"

	"github.com/google/uuid"
)

const (
	// maxClockLead is the maximum lead of the time in a command id over the
	// leader's clock. Without a bound, an id with a time far in the future would
	// be retained until long after that time.
	maxClockLead = time.Hour
	// maxCommandIDBytes is the maximum length of a command id.
	maxCommandIDBytes = 128
)

// commandRecord is the change and the result recorded for a command id.
type commandRecord struct {
	Change Change    `json:"change"`
	Result Result    `json:"result"`
	Until  time.Time `json:"until"`
}

// operate applies an operator command at most once per command id.
//
// The result for an id is kept for CommandRetention. A generated id is a UUID
// of version 7: its timestamp shows whether its result may already have been
// removed, in which case the id is refused. An id chosen by an operator has no
// timestamp; when its result is removed, its hash is added to ExpiredIDs, and
// ids in that set are refused.
func (s *State) operate(c OperatorCommand) Result {
	if first, ok := s.d.Commands[c.CommandID]; ok && s.d.Now.Before(first.Until) {
		if first.Change != c.Change {
			return s.refuse(CodeCommandIDReused, "command id %s belongs to a different command: %s", c.CommandID, first.Change)
		}
		return first.Result
	}
	until, refusal := s.checkCommandID(c.CommandID)
	if refusal != nil {
		return *refusal
	}
	result := s.changeAtRevision(c)
	s.d.Commands[c.CommandID] = commandRecord{Change: c.Change, Result: result, Until: until}
	return result
}

// checkCommandID returns the time until which the result for a new id is kept,
// or the refusal of the id.
func (s *State) checkCommandID(id string) (until time.Time, refusal *Result) {
	refuse := func(code Code, format string, args ...any) (time.Time, *Result) {
		r := s.refuse(code, format, args...)
		return time.Time{}, &r
	}
	if id == "" || len(id) > maxCommandIDBytes {
		return refuse(CodeInvalid, "command id has %d bytes, want 1 to %d", len(id), maxCommandIDBytes)
	}
	until = s.d.Now.Add(CommandRetention)
	createdAt, ok := uuidTime(id)
	if !ok {
		if s.d.ExpiredIDs.contains(id) || s.awaitsSweep(id) {
			return refuse(CodeCommandIDExpired, "command id %s was used more than %s ago", id, CommandRetention)
		}
		return until, nil
	}
	if !s.d.Now.Before(createdAt.Add(CommandRetention)) {
		return refuse(CodeCommandIDExpired, "command id %s was made at %s, more than %s ago; check config history and use a new id",
			id, createdAt.Format(time.RFC3339), CommandRetention)
	}
	if createdAt.After(s.d.Now.Add(maxClockLead)) {
		return refuse(CodeInvalid, "command id %s was made at %s, more than %s ahead of the leader's clock",
			id, createdAt.Format(time.RFC3339), maxClockLead)
	}
	if createdAt.After(s.d.Now) {
		until = createdAt.Add(CommandRetention)
	}
	return until, nil
}

// awaitsSweep reports whether the id still has a record, which the next sweep
// removes if it has expired.
func (s *State) awaitsSweep(id string) bool {
	_, ok := s.d.Commands[id]
	return ok
}

// uuidTime returns the timestamp of an id that is a UUID of version 7, and
// false for any other id.
func uuidTime(id string) (time.Time, bool) {
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 {
		return time.Time{}, false
	}
	var ms int64 // the first 48 bits, RFC 9562 section 5.7
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms).UTC(), true
}

func (s *State) sweepCommands() {
	for _, id := range expired(s.d.Commands, func(r commandRecord) time.Time { return r.Until }, s.d.Now) {
		if _, hasTime := uuidTime(id); !hasTime {
			s.d.ExpiredIDs.add(id)
		}
		delete(s.d.Commands, id)
	}
}

// changeAtRevision applies a change if the command is based on the current
// revision, and adds it to the history.
func (s *State) changeAtRevision(c OperatorCommand) Result {
	if c.Operator == "" {
		return s.refuse(CodeInvalid, "operator is missing")
	}
	if c.Revision != s.d.Revision {
		return s.conflictResult(c)
	}
	change, code, err := s.applyChange(c.Change)
	if err != nil {
		return s.refuse(code, "%s", err)
	}
	s.d.Revision++
	recorded := AcceptedChange{Revision: s.d.Revision, At: s.d.Now, Operator: c.Operator, CommandID: c.CommandID, Change: change}
	s.d.History = append(s.d.History, recorded)
	if n := len(s.d.History) - HistoryLimit; n > 0 {
		s.d.History = append([]AcceptedChange(nil), s.d.History[n:]...)
	}
	return Result{Text: fmt.Sprintf("revision %d: %s", s.d.Revision, change), Revision: s.d.Revision, Recorded: &recorded}
}

// conflictResult returns the refusal of a command that is not based on the
// current revision. It names the change that was accepted in its place, or the
// oldest known one if that is no longer in the history.
func (s *State) conflictResult(c OperatorCommand) Result {
	if c.Revision > s.d.Revision {
		return s.refuse(CodeConflict, "revision %d does not exist, the current one is %d", c.Revision, s.d.Revision)
	}
	winner := s.d.History[0]
	if i := int(c.Revision+1) - int(winner.Revision); i > 0 {
		winner = s.d.History[i]
	}
	text := fmt.Sprintf("revision %d was changed by %s at %s: %s", c.Revision, winner.Operator, winner.At.Format(time.RFC3339), winner.Change)
	if winner.Revision != c.Revision+1 {
		text = fmt.Sprintf("revision %d is no longer in the history, which starts with revision %d by %s: %s",
			c.Revision, winner.Revision, winner.Operator, winner.Change)
	}
	return Result{Code: CodeConflict, Text: text, Revision: s.d.Revision, Winner: &winner}
}
