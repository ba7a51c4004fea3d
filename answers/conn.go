package answers

import "net"

// Config configures a Conn.
type Config struct {
	Conn net.Conn
	// CheckHeads makes reads fail with ErrMalformed at a malformed head of a response.
	// The connection must carry one request only.
	CheckHeads bool
}

// Conn is a connection to a backend server that checks what is read from it.
type Conn struct {
	net.Conn
	heads *headChecker // nil if heads are not checked
}

// NewConn returns a Conn, which owns the connection of cfg.
func NewConn(cfg Config) *Conn {
	c := &Conn{Conn: cfg.Conn}
	if cfg.CheckHeads {
		c.heads = &headChecker{}
	}
	return c
}

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. It must not be called concurrently.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.heads != nil {
		if malformed := c.heads.check(b[:n]); malformed != nil {
			return 0, malformed
		}
	}
	return n, err
}
