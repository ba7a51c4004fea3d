package servers

import "gypsumshelf.example/gypsumshelf"

// serves reports whether a server serves a service or, when model is not empty,
// a model, each by its canonical name.
func (t *Table) serves(s *Server, service, model string) bool {
	if model != "" {
		return t.ModelName(s, model) != ""
	}
	a := s.announcement
	return a.Kind == gypsumshelf.KindPlain && t.cfg.Canonical(gypsumshelf.NameService, a.Service) == service
}

// ModelName returns the name under which a server announces a model, given by
// its canonical name; empty when the server does not serve it.
func (t *Table) ModelName(s *Server, model string) string {
	for _, name := range s.announcement.Models {
		if name == model || t.cfg.Canonical(gypsumshelf.NameModel, name) == model {
			return name
		}
	}
	return ""
}
