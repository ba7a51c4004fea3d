package gypsumshelf

// DaemonID names a daemon of a deployment.
type DaemonID string

// Revision numbers accepted configurations; it only grows.
type Revision uint64
