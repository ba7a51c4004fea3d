package standins

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// loopback is a loopback address that no other process is likely to use. On
// 127.0.0.1 a free port was often taken again, by a connection of another
// process, before the daemon under test listened on it.
var loopback = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(256), 1+rand.IntN(250))

// freeAddressTries bounds the addresses that are tried for one that is new.
const freeAddressTries = 100

// addressBook holds the addresses that were given out. The system may choose a
// port again as soon as it is closed: one deployment then had an address twice.
type addressBook struct {
	mu    sync.Mutex
	given map[string]bool
}

var addresses = addressBook{given: map[string]bool{}}

// FreeAddress returns an IP:PORT on loopback that was free when it was chosen
// and that this process has not given out before.
func FreeAddress() (string, error) {
	for range freeAddressTries {
		l, err := net.Listen("tcp", loopback+":0")
		if err != nil {
			return "", err
		}
		address := l.Addr().String()
		l.Close()
		if addresses.add(address) {
			return address, nil
		}
	}
	return "", fmt.Errorf("no new port on %s in %d tries", loopback, freeAddressTries)
}

// add reports whether the address is new.
func (b *addressBook) add(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.given[address] {
		return false
	}
	b.given[address] = true
	return true
}
