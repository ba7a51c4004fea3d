// Package gypsumshelf holds the core types of the serving layer.
//
// Decisions are made in packages without I/O, such as admissions, attempts,
// routes, servers and shares. Package daemons composes them into one reducer of
// events to effects; drivers around it do the I/O.
package gypsumshelf
