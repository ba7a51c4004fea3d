package standins

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// loopback is a loopback address that no other process is likely to use. On
// 127.0.0.1 a free port was often taken again, by a connection of another
// process, before the daemon under test listened on it.
var loopback = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(256), 1+rand.IntN(250))

// FreeAddress returns an IP:PORT on loopback that was free when it was chosen.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
