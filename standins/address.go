package standins

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// loopback is a random loopback address that other processes are unlikely to
// use. On 127.0.0.1, connections of other processes often took a port between
// the check that it was free and the daemon under test listening on it.
var loopback = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(256), 1+rand.IntN(250))

// freeAddressTries bounds the attempts to find an address that is new.
const freeAddressTries = 100

// addressSet holds the addresses that FreeAddress has returned. The system may
// choose a port again as soon as it is closed, which gave two listeners of one
// deployment the same address.
type addressSet struct {
	mu       sync.Mutex
	returned map[string]bool
}

var returnedAddresses = addressSet{returned: map[string]bool{}}

// FreeAddress returns an IP:PORT on a loopback address. The port was free when it
// was chosen, and this process has not returned it before.
func FreeAddress() (string, error) {
	for range freeAddressTries {
		l, err := net.Listen("tcp", loopback+":0")
		if err != nil {
			return "", err
		}
		address := l.Addr().String()
		l.Close()
		if returnedAddresses.add(address) {
			return address, nil
		}
	}
	return "", fmt.Errorf("no new port on %s in %d tries", loopback, freeAddressTries)
}

// add adds an address and reports whether it was new.
func (s *addressSet) add(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.returned[address] {
		return false
	}
	s.returned[address] = true
	return true
}
