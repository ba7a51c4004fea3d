package configs

import (
	"fmt"
	"strings"
	"unicode"

	"gypsumshelf.example/gypsumshelf"
)

// maxNameBytes is the maximum length of a class, data centre, service, model or
// scheme name.
const maxNameBytes = 128

// applyChange applies a change and returns it with canonical names. On error
// the state is unchanged and the returned code is the reason.
func (s *State) applyChange(c Change) (Change, Code, error) {
	switch c.Action {
	case ActionClassSet:
		return c, CodeInvalid, s.setClass(c)
	case ActionClassRemove:
		if _, ok := s.d.Classes[c.Name]; !ok {
			return c, CodeNotFound, fmt.Errorf("class %q is not set", c.Name)
		}
		delete(s.d.Classes, c.Name)
		return c, "", nil
	case ActionTakeOut, ActionBringBack:
		return s.setInService(c)
	case ActionNameAdd:
		return s.addName(c)
	}
	return c, CodeInvalid, fmt.Errorf("unknown action %q", c.Action)
}

func (s *State) setClass(c Change) error {
	if err := checkName("class", c.Name); err != nil {
		return err
	}
	switch {
	case c.FirstToken <= 0 || c.Finish <= 0:
		return fmt.Errorf("class %q: first-token and finish must be positive", c.Name)
	case c.FirstToken > c.Finish:
		return fmt.Errorf("class %q: first-token %s is later than finish %s", c.Name, c.FirstToken.Std(), c.Finish.Std())
	}
	s.d.Classes[c.Name] = gypsumshelf.Target{FirstToken: c.FirstToken.Std(), Finish: c.Finish.Std()}
	return nil
}

// setInService takes a data centre out of service or brings it back. Both are
// idempotent: they succeed when the data centre is already in that state.
func (s *State) setInService(c Change) (Change, Code, error) {
	if err := checkName("data centre", c.Name); err != nil {
		return c, CodeInvalid, err
	}
	name, err := s.Resolve(gypsumshelf.NameDataCentre, c.Name)
	if err != nil {
		return c, CodeAmbiguousName, err
	}
	c.Name = name
	if c.Action == ActionTakeOut {
		s.d.TakenOut[name] = s.d.Revision + 1
	} else {
		delete(s.d.TakenOut, name)
	}
	return c, "", nil
}

func checkName(kind, name string) error {
	if name == "" || len(name) > maxNameBytes {
		return fmt.Errorf("%s name has %d bytes, want 1 to %d", kind, len(name), maxNameBytes)
	}
	if strings.ContainsFunc(name, func(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) }) {
		return fmt.Errorf("%s name %q contains a space or an unprintable character", kind, name)
	}
	return nil
}
