package gypsumshelf

// NameKind is the kind of object that a name identifies.
type NameKind string

// Kinds of names. Each kind has at most configs.MaxSchemes naming schemes.
const (
	NameDataCentre NameKind = "data-centre"
	NameService    NameKind = "service"
	NameModel      NameKind = "model"
)
