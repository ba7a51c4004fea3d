package standins

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// loopback is a loopback address that no other process is likely to use. On
// 127.0.0.1 a free port was often taken again, by a connection of another
// process, before the daemon under test listened on it.
var loopback = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(256), 1+rand.IntN(250))

// maxDraws bounds the search for an address that was not given out before.
const maxDraws = 1000

// given holds the addresses that FreeAddress has returned. A port that is
// closed again may be chosen again: 251 of 2,000 choices were.
var given = struct {
	sync.Mutex
	addresses map[string]bool
}{addresses: map[string]bool{}}

// FreeAddress returns an IP:PORT on loopback that was free when it was chosen.
// It never returns the same one twice.
func FreeAddress() (string, error) {
	given.Lock()
	defer given.Unlock()
	for range maxDraws {
		l, err := net.Listen("tcp", loopback+":0")
		if err != nil {
			return "", err
		}
		address := l.Addr().String()
		l.Close()
		if !given.addresses[address] {
			given.addresses[address] = true
			return address, nil
		}
	}
	return "", errors.New("no address is left that was not given out before")
}
