package standins

// Faults are the faults that a stand-in injects. A PlainServer knows only
// DropAfterRead and Freeze.
type Faults struct {
	DropAfterRead  bool `json:"drop-after-read,omitempty"` // close the connection after reading the request
	Freeze         bool `json:"freeze,omitempty"`          // keep the connection open without an answer
	ForeignChunk   bool `json:"foreign-chunk,omitempty"`   // send one chunk with another attempt's id
	DuplicateChunk bool `json:"duplicate-chunk,omitempty"` // send one chunk twice
	MissingChunk   bool `json:"missing-chunk,omitempty"`   // omit one chunk
	NoEnd          bool `json:"no-end,omitempty"`          // omit the finish reason and the end marker
	DropMidStream  bool `json:"drop-mid-stream,omitempty"` // close the connection halfway through the stream
}
