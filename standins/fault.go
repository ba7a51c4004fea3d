package standins

// Faults are switches that make a stand-in engine misbehave, for tests.
type Faults struct {
	DropAfterRead  bool `json:"drop-after-read,omitempty"` // read the request, then close the connection
	Freeze         bool `json:"freeze,omitempty"`          // never answer, keep the connection open
	ForeignChunk   bool `json:"foreign-chunk,omitempty"`   // one chunk carries another attempt's id
	DuplicateChunk bool `json:"duplicate-chunk,omitempty"` // one chunk is sent twice
	MissingChunk   bool `json:"missing-chunk,omitempty"`   // one chunk is left out
	NoEnd          bool `json:"no-end,omitempty"`          // neither finish reason nor end marker
	DropMidStream  bool `json:"drop-mid-stream,omitempty"` // close the connection half way
}
