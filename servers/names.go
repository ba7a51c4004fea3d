package servers

import "gypsumshelf.example/gypsumshelf"

// serves reports whether a server serves a model or, when model is empty, a plain
// service. Both names are canonical.
func (t *Table) serves(s *Server, service, model string) bool {
	if model != "" {
		return t.ModelName(s, model) != ""
	}
	a := s.announcement
	return a.Kind == gypsumshelf.KindPlain && t.cfg.Canonical(gypsumshelf.NameService, a.Service) == service
}

// ModelName returns the name under which a server announces the model with a
// canonical name, or "" when it does not serve the model.
func (t *Table) ModelName(s *Server, model string) string {
	for _, name := range s.announcement.Models {
		if name == model || t.cfg.Canonical(gypsumshelf.NameModel, name) == model {
			return name
		}
	}
	return ""
}
