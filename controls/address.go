package controls

import (
	"net"
	"strconv"

	"gypsumshelf.example/gypsumshelf"
)

// The ports are the same on all hosts: the directory listens on the port after
// that of the peers, so that one address gives the other.

// directoryOf returns the address of a daemon's directory.
func directoryOf(id gypsumshelf.DaemonID) string { return shift(string(id), 1) }

// peerOf returns the daemon whose directory is at an address.
func peerOf(address string) gypsumshelf.DaemonID { return gypsumshelf.DaemonID(shift(address, -1)) }

func shift(address string, by int) string {
	host, port, err := net.SplitHostPort(address)
	n, convErr := strconv.Atoi(port)
	if err != nil || convErr != nil {
		return address
	}
	return net.JoinHostPort(host, strconv.Itoa(n+by))
}
