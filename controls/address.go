package controls

import (
	"net"
	"strconv"

	"gypsumshelf.example/gypsumshelf"
)

// All hosts use the same ports, and the directory listens on the port after the
// peer port. Each of the two addresses can therefore be derived from the other.

// directoryOf returns the directory address of a daemon.
func directoryOf(id gypsumshelf.DaemonID) string { return shift(string(id), 1) }

// peerOf returns the ID, which is the peer address, of the daemon whose
// directory listens on an address.
func peerOf(address string) gypsumshelf.DaemonID { return gypsumshelf.DaemonID(shift(address, -1)) }

// shift adds an offset to the port of an address. An address that cannot be
// parsed is returned unchanged.
func shift(address string, by int) string {
	host, port, err := net.SplitHostPort(address)
	n, convErr := strconv.Atoi(port)
	if err != nil || convErr != nil {
		return address
	}
	return net.JoinHostPort(host, strconv.Itoa(n+by))
}
