package gypsumshelf

// NameKind is the kind of thing that a name denotes.
type NameKind string

// Kinds of names; every kind has up to three naming schemes today.
const (
	NameDataCentre NameKind = "data-centre"
	NameService    NameKind = "service"
	NameModel      NameKind = "model"
)
