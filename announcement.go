package gypsumshelf

// ServerState is the state that a backend server announces.
type ServerState string

// States of a backend server.
const (
	ServerStarting ServerState = "starting"
	ServerReady    ServerState = "ready"
	ServerLeaving  ServerState = "leaving"
)

// Kinds of backend servers.
const (
	KindEngine = "engine"
	KindPlain  = "plain"
)

// ServerID identifies a backend server.
type ServerID string

// Load is the load that a backend server reports. It lags behind the actual load.
type Load struct {
	Running    int `json:"running"`
	Queued     int `json:"queued"`
	UsedTokens int `json:"used-tokens"`
}

// Announcement is the body of POST /announce. A backend server repeats it as a
// heartbeat.
type Announcement struct {
	Server        ServerID    `json:"backend-server"`
	Incarnation   string      `json:"incarnation"` // new at every start of the server
	Address       string      `json:"address"`     // IP:PORT
	DataCentre    string      `json:"data-centre"`
	Service       string      `json:"service"`
	Kind          string      `json:"kind"` // KindEngine or KindPlain
	Models        []string    `json:"models,omitempty"`
	MemoryTokens  int         `json:"memory-tokens,omitempty"`
	ChecksFencing bool        `json:"checks-fencing,omitempty"`
	State         ServerState `json:"state"`
	// Sequence increases with every announcement of the server, also across
	// restarts, such as the time in Unix ms. It is 0 when the server sends none.
	Sequence uint64 `json:"sequence,omitempty"`
	Load     Load   `json:"load"`
}
