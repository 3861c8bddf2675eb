package caller

// StreamEvent is an event of an answer stream.
type StreamEvent interface{ streamEvent() }

// Accepted reports that two nodes hold the request and that it will be
// answered.
type Accepted struct {
	Instance string `cbor:"1,keyasint"`
}

// Tokens carries consecutive tokens of a run.
type Tokens struct {
	Run string `cbor:"1,keyasint"`
	// Offset is the position in the run of the first of Tokens.
	Offset int      `cbor:"2,keyasint"`
	Tokens []string `cbor:"3,keyasint"`
}

// Restarted reports that the answer continues in another run. The caller
// already has the first Keep tokens of that run and discards any further ones.
type Restarted struct {
	Run  string `cbor:"1,keyasint"`
	Keep int    `cbor:"2,keyasint"`
}

// Moved ends a stream: the answer continues at another address.
type Moved struct {
	Address string `cbor:"1,keyasint"`
}

// Done ends a stream: the answer is complete with Count tokens.
type Done struct {
	Run   string `cbor:"1,keyasint"`
	Count int    `cbor:"2,keyasint"`
	// Result is the answer of a plain service; it is empty for token streams.
	Result []byte `cbor:"3,keyasint,omitempty"`
}

// Failed ends a stream: the request was refused.
type Failed struct {
	Refusal Refusal `cbor:"1,keyasint"`
}

func (Accepted) streamEvent()  {}
func (Tokens) streamEvent()    {}
func (Restarted) streamEvent() {}
func (Moved) streamEvent()     {}
func (Done) streamEvent()      {}
func (Failed) streamEvent()    {}

// IsTerminal reports whether e ends its stream.
func IsTerminal(e StreamEvent) bool {
	switch e.(type) {
	case Moved, Done, Failed:
		return true
	}
	return false
}
