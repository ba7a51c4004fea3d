package controls

import (
	"net"
	"strconv"

	"gypsumshelf.example/gypsumshelf"
)

// All hosts use the same ports, and the directory listens on the port after the
// peer port. Each of the two addresses can therefore be derived from the other.

// directoryAddress returns the directory address of a daemon.
func directoryAddress(id gypsumshelf.DaemonID) string { return addToPort(string(id), 1) }

// peerID returns the ID, which is the peer address, of the daemon whose
// directory listens on an address.
func peerID(address string) gypsumshelf.DaemonID { return gypsumshelf.DaemonID(addToPort(address, -1)) }

// addToPort adds an offset to the port of an address. An address that cannot be
// parsed is returned unchanged.
func addToPort(address string, offset int) string {
	host, port, err := net.SplitHostPort(address)
	n, convErr := strconv.Atoi(port)
	if err != nil || convErr != nil {
		return address
	}
	return net.JoinHostPort(host, strconv.Itoa(n+offset))
}
