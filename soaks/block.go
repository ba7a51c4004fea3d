package soaks

import (
	"fmt"
	"net"

	"github.com/ansel1/merry/v2"
)

const (
	// blocks is the number of blocks of loopback addresses, from 127.100.0.0 on.
	blocks = 100 * 250
	// maxHosts is the number of addresses in a block, less the one that reserves it.
	maxHosts = 253
	// reservationPort is the port at the last address of a block that reserves it.
	reservationPort = 17339
)

// Block is a block of loopback addresses that no other soak test on this machine uses.
type Block struct {
	second, third int // bytes of the addresses
	reservation   net.Listener
}

// ReserveBlock reserves the block of a seed, or the next free one.
func ReserveBlock(seed uint64) (*Block, error) {
	var last error
	for i := range uint64(blocks) {
		n := seed + i
		b := &Block{second: int(100 + n%100), third: int(n / 100 % 250)}
		b.reservation, last = net.Listen("tcp", fmt.Sprintf("%s:%d", b.IP(maxHosts), reservationPort))
		if last == nil {
			return b, nil
		}
	}
	return nil, merry.Prepend(last, "reserving loopback addresses")
}

// Close releases the block.
func (b *Block) Close() { b.reservation.Close() }

// IP returns the address of host n, from 0 on.
func (b *Block) IP(n int) string { return fmt.Sprintf("127.%d.%d.%d", b.second, b.third, 1+n) }
