package gypsumshelf

// DaemonID identifies a daemon of a deployment.
type DaemonID string

// Revision is the number of an accepted configuration. It only increases.
type Revision uint64
