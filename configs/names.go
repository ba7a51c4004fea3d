package configs

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"gypsumshelf.example/gypsumshelf"
)

// Resolve returns the canonical name for an alias of any scheme. An unknown
// name is taken as a canonical name. An ambiguous name is an error that lists
// the candidates.
func (s *State) Resolve(kind gypsumshelf.NameKind, name string) (string, error) {
	candidates := s.candidates(kind, name)
	switch len(candidates) {
	case 0:
		return name, nil
	case 1:
		return candidates[0], nil
	}
	return "", fmt.Errorf("%s name %q is ambiguous: it stands for %s", kind, name, strings.Join(candidates, " and "))
}

// Canonical returns the canonical name of a name, or the name itself when it is
// ambiguous.
func (s *State) Canonical(kind gypsumshelf.NameKind, name string) string {
	if len(s.d.Names[kind]) == 0 {
		return name
	}
	canonical, err := s.Resolve(kind, name)
	if err != nil {
		return name
	}
	return canonical
}

// candidates returns the canonical names that a name may refer to, sorted.
func (s *State) candidates(kind gypsumshelf.NameKind, name string) []string {
	found := map[string]bool{}
	for _, aliases := range s.d.Names[kind] {
		if canonical, ok := aliases[name]; ok {
			found[canonical] = true
		}
		for _, canonical := range aliases {
			if canonical == name {
				found[name] = true
			}
		}
	}
	if _, ok := s.d.TakenOut[name]; ok && kind == gypsumshelf.NameDataCentre {
		found[name] = true
	}
	return slices.Sorted(maps.Keys(found))
}

// InService reports whether new work may be sent to a data centre, given by its
// canonical name or an alias. An ambiguous name is out of service while any of
// its candidates is.
func (s *State) InService(dataCentre string) bool {
	if _, out := s.d.TakenOut[dataCentre]; out {
		return false
	}
	for _, aliases := range s.d.Names[gypsumshelf.NameDataCentre] {
		if _, out := s.d.TakenOut[aliases[dataCentre]]; out {
			return false
		}
	}
	return true
}

// addName adds an alias. Different organizations maintain the schemes, so the
// same alias may refer to different canonical names in different schemes;
// Resolve refuses such an alias as ambiguous.
func (s *State) addName(c Change) (Change, Code, error) {
	switch c.Kind {
	case gypsumshelf.NameDataCentre, gypsumshelf.NameService, gypsumshelf.NameModel:
	default:
		return c, CodeInvalid, fmt.Errorf("kind %q is unknown, want %s, %s or %s", c.Kind,
			gypsumshelf.NameDataCentre, gypsumshelf.NameService, gypsumshelf.NameModel)
	}
	for _, f := range []struct{ field, name string }{{"canonical", c.Canonical}, {"scheme", c.Scheme}, {"alias", c.Alias}} {
		if err := checkName(f.field, f.name); err != nil {
			return c, CodeInvalid, err
		}
	}
	canonical, err := s.Resolve(c.Kind, c.Canonical)
	if err != nil {
		return c, CodeAmbiguousName, err
	}
	c.Canonical = canonical
	if code, err := s.checkAlias(c); err != nil {
		return c, code, err
	}
	schemes := s.d.Names[c.Kind]
	if schemes == nil {
		schemes = map[string]map[string]string{}
		s.d.Names[c.Kind] = schemes
	}
	if schemes[c.Scheme] == nil {
		schemes[c.Scheme] = map[string]string{}
	}
	schemes[c.Scheme][c.Alias] = c.Canonical
	return c, "", nil
}

// checkAlias rejects an alias that exceeds MaxSchemes, that its scheme already
// maps to another canonical name, or that is itself a canonical name.
func (s *State) checkAlias(c Change) (Code, error) {
	schemes := s.d.Names[c.Kind]
	if schemes[c.Scheme] == nil && len(schemes) >= MaxSchemes {
		return CodeInvalid, fmt.Errorf("kind %s already has %d schemes: %s", c.Kind, MaxSchemes,
			strings.Join(slices.Sorted(maps.Keys(schemes)), ", "))
	}
	if other, ok := schemes[c.Scheme][c.Alias]; ok && other != c.Canonical {
		return CodeAmbiguousName, fmt.Errorf("alias %q of scheme %q would be ambiguous: it stands for %s and %s", c.Alias, c.Scheme, other, c.Canonical)
	}
	if c.Alias != c.Canonical && s.isCanonical(c.Kind, c.Alias) {
		return CodeAmbiguousName, fmt.Errorf("alias %q would be ambiguous: it is a canonical name and would also stand for %s", c.Alias, c.Canonical)
	}
	return "", nil
}

func (s *State) isCanonical(kind gypsumshelf.NameKind, name string) bool {
	return slices.Contains(s.candidates(kind, name), name)
}

// Aliases returns the aliases of a kind as a map from scheme and alias to
// canonical name.
func (s *State) Aliases(kind gypsumshelf.NameKind) map[string]map[string]string {
	out := map[string]map[string]string{}
	for scheme, aliases := range s.d.Names[kind] {
		out[scheme] = maps.Clone(aliases)
	}
	return out
}
