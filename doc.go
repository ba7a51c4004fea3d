// Package gypsumshelf holds the core types of the serving layer.
//
// The decisions are in the reducer parts (replicas, configs, members, servers,
// routes, shares, admissions, reservations, attempts), which are composed in
// package daemons. The other packages are drivers around them.
package gypsumshelf
