package caller

// Position is a reader's position in an answer: Offset tokens of Run have been
// read.
type Position struct {
	Run    string `cbor:"1,keyasint"`
	Offset int    `cbor:"2,keyasint"`
}

// Answer holds the output of a run so far. The zero value is an answer whose
// run has not started.
type Answer struct {
	run    string
	parent string
	base   int
	tokens []string
	bytes  int
	done   bool
	result []byte
}

// NewAnswer returns the answer of a run that starts with the given tokens of
// its parent as its base.
func NewAnswer(run, parent string, tokens []string) Answer {
	a := Answer{run: run, parent: parent, base: len(tokens)}
	a.appendTokens(tokens)
	return a
}

// Run returns the name of the run, or "" if no run has started.
func (a *Answer) Run() string { return a.run }

// Parent returns the name of the run that this one continues, or "" if there is
// none.
func (a *Answer) Parent() string { return a.parent }

// Base returns the number of tokens shared with the parent.
func (a *Answer) Base() int { return a.base }

// Tokens returns all tokens; the caller must not change them.
func (a *Answer) Tokens() []string { return a.tokens }

// Count returns the number of tokens.
func (a *Answer) Count() int { return len(a.tokens) }

// Done reports whether the answer is complete.
func (a *Answer) Done() bool { return a.done }

// Result returns a plain service's answer.
func (a *Answer) Result() []byte { return a.result }

// tokenOverheadBytes is the approximate memory that a token takes in addition to
// its text.
const tokenOverheadBytes = 24

// Size returns the approximate memory taken by the tokens and the result, in
// bytes.
func (a *Answer) Size() int {
	return a.bytes + tokenOverheadBytes*len(a.tokens) + len(a.result)
}

// Append takes tokens of the run that start at offset. It adds those that the
// answer does not have yet and returns their number, or -1 if there is a gap
// before offset.
func (a *Answer) Append(offset int, tokens []string) int {
	if offset > len(a.tokens) {
		return -1
	}
	known := len(a.tokens) - offset
	if known >= len(tokens) {
		return 0
	}
	added := tokens[known:]
	a.appendTokens(added)
	return len(added)
}

// Complete marks the answer as complete.
func (a *Answer) Complete(result []byte) {
	a.done = true
	a.result = result
}

// CommonTokens returns the number of tokens that a reader at p has in common
// with this run.
func (a *Answer) CommonTokens(p Position) int {
	switch p.Run {
	case a.run:
		return min(p.Offset, len(a.tokens))
	case a.parent:
		return min(p.Offset, a.base)
	}
	return 0
}

func (a *Answer) appendTokens(tokens []string) {
	a.tokens = append(a.tokens, tokens...)
	for _, t := range tokens {
		a.bytes += len(t)
	}
}

// RestoreAnswer returns an answer with the given parts, taken from a copy.
func RestoreAnswer(run, parent string, base int, tokens []string) Answer {
	a := Answer{run: run, parent: parent, base: base}
	a.appendTokens(tokens)
	return a
}
