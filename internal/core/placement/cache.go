package placement

import "time"

const (
	// plainServiceTime is the assumed service time of a plain request.
	plainServiceTime = 10 * time.Millisecond
	// minJitter is the least bound of the random addition to a cost.
	minJitter = time.Millisecond
	// otherZoneCost is the network round-trip time to another zone.
	otherZoneCost = 2 * time.Millisecond
	// recomputeWeight multiplies the time to prefill shared prompt parts that are
	// not cached, because that prefill also delays all other requests at the
	// engine.
	recomputeWeight = 8
	// errorCost is the cost added at an error rate of 1; it scales with the rate.
	errorCost = 2 * time.Second
	// beyondRoomCost is added for an upstream that runs as many requests as it takes well, so
	// that any other one is preferred.
	beyondRoomCost = 10 * time.Second
	// probeBonus is taken off the cost of an upstream that is probed. It exceeds the wait that
	// others have while their slots are free.
	probeBonus = 100 * time.Millisecond
	// unlistedCost is added for an upstream that is missing from the platform's
	// list, so that any listed one is preferred.
	unlistedCost = time.Minute
	// cacheRetention is the assumed retention period of a shared part in an
	// engine's KV cache.
	cacheRetention = 30 * time.Second
	// reservedDivisor sets the fraction of upstreams (one in three) that is
	// reserved for short waits if more urgent requests were queued recently.
	reservedDivisor = 3
	// maxMemoryFraction is the fraction of the KV cache that placed requests may
	// fill.
	maxMemoryFraction = 0.9
)

// cached returns the number of tokens at the start of the prompt that are
// assumed to be in the upstream's KV cache, from the requests recently placed
// there.
func (m *member) cached(now time.Time, p Prompt) int {
	tokens := 0
	for _, part := range p.Parts {
		used, ok := m.parts[part.ID]
		if !ok || now.Sub(used) > cacheRetention {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// touchParts records that the upstream uses the prompt's parts now.
func (m *member) touchParts(now time.Time, p Prompt) {
	for _, part := range p.Parts {
		m.parts[part.ID] = now
	}
}

// expireParts removes parts that are no longer assumed to be cached.
func (m *member) expireParts(now time.Time) {
	for id, used := range m.parts {
		if now.Sub(used) > cacheRetention {
			delete(m.parts, id)
		}
	}
}

// lastSharedPart returns the last part that other requests may share, which
// is the one before the request's own, if the prompt has one.
func (p Prompt) lastSharedPart() (Part, bool) {
	if len(p.Parts) < 2 {
		return Part{}, false
	}
	return p.Parts[len(p.Parts)-2], true
}

// ExpectedOutput returns the estimated number of tokens that will be generated.
func (p Prompt) ExpectedOutput() int {
	if p.OutputEstimate > 0 {
		return min(p.OutputEstimate, p.MaxOutputTokens)
	}
	return p.MaxOutputTokens
}

// SharedTokens returns the number of tokens of all parts but the last.
func (p Prompt) SharedTokens() int {
	tokens := 0
	for _, part := range p.Parts[:max(len(p.Parts)-1, 0)] {
		tokens += part.Tokens
	}
	return tokens
}

// PartIDs returns the IDs of the prompt's parts in order.
func (p Prompt) PartIDs() []string {
	ids := make([]string, 0, len(p.Parts))
	for _, part := range p.Parts {
		ids = append(ids, part.ID)
	}
	return ids
}
