package placement

import "time"

const (
	// plainCost is the assumed service time of a plain request, which each
	// one running before it adds to the wait.
	plainCost = 10 * time.Millisecond
	// otherZoneCost is the network time of a hop to another zone and back.
	otherZoneCost = 2 * time.Millisecond
	// rereadWeight multiplies the time to read shared prompt parts that another
	// engine keeps: reading them again also delays all other requests there.
	rereadWeight = 8
	// errorCost is added at an upstream all of whose answers are errors.
	errorCost = 2 * time.Second
	// unlistedCost is added at an upstream that is missing from the list, so
	// that any other goes before it.
	unlistedCost = time.Minute
	// cacheMemory is how long a shared part is assumed to stay in the cache.
	cacheMemory = 30 * time.Second
	// shortDivisor is the part of the upstreams, as a divisor, that is kept for
	// short waits while more urgent requests have to wait.
	shortDivisor = 3
	// memoryShare is the part of the KV cache that placed requests may fill.
	memoryShare = 0.9
)

// cached returns how many tokens from the start of the prompt the upstream is
// assumed to keep, from what was placed there lately.
func (m *member) cached(now time.Time, p Prompt) int {
	tokens := 0
	for _, part := range p.Parts {
		used, ok := m.parts[part.ID]
		if !ok || now.Sub(used) > cacheMemory {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// remember notes that the upstream reads the prompt's parts now.
func (m *member) remember(now time.Time, p Prompt) {
	for _, part := range p.Parts {
		m.parts[part.ID] = now
	}
}

// forget drops parts that are no longer assumed to be cached.
func (m *member) forget(now time.Time) {
	for id, used := range m.parts {
		if now.Sub(used) > cacheMemory {
			delete(m.parts, id)
		}
	}
}

// sharedPart returns the last part that other requests may share too; the
// one before the request's own, if there is one.
func (p Prompt) sharedPart() (Part, bool) {
	if len(p.Parts) < 2 {
		return Part{}, false
	}
	return p.Parts[len(p.Parts)-2], true
}

// ExpectedOutput returns the tokens that are likely to be generated.
func (p Prompt) ExpectedOutput() int {
	if p.Expected > 0 {
		return min(p.Expected, p.Output)
	}
	return p.Output
}

// SharedTokens returns the tokens of all parts but the last.
func (p Prompt) SharedTokens() int {
	tokens := 0
	for _, part := range p.Parts[:max(len(p.Parts)-1, 0)] {
		tokens += part.Tokens
	}
	return tokens
}
