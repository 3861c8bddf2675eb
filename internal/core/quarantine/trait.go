package quarantine

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Trait is a property of requests that may crash upstreams.
type Trait string

const (
	partPrefix    = "part/"
	contentPrefix = "content/"
	// maxPartBytes bounds the ID of a part in a trait; longer ones are hashed.
	maxPartBytes = 32
)

// Traits returns the traits of a request, the most specific one last: its prompt
// parts that other requests may share, in order, and its content.
func Traits(sharedParts []string, content uint64) []Trait {
	traits := make([]Trait, 0, len(sharedParts)+1)
	for _, id := range sharedParts {
		if len(id) > maxPartBytes {
			id = hex(xxhash.Sum64String(id))
		}
		traits = append(traits, Trait(partPrefix+id))
	}
	return append(traits, Trait(contentPrefix+hex(content)))
}

// IsContent reports whether the trait is the whole content of a request.
func (t Trait) IsContent() bool { return strings.HasPrefix(string(t), contentPrefix) }

// rank orders parts before contents.
func (t Trait) rank() int {
	if t.IsContent() {
		return 1
	}
	return 0
}

// crashesNeeded returns the number of crashes without a sound run for which the
// trait is quarantined. A content that has crashed two upstreams is hardly there
// by chance; a part may be.
func (t Trait) crashesNeeded() int {
	if t.IsContent() {
		return 2
	}
	return 3
}

// ProcessID returns the ID of an upstream's process. A process crashes once, however
// many attempts break there, so that its ID is also that of its crash.
func ProcessID(upstream string, startedAt time.Time) uint64 {
	return xxhash.Sum64String(upstream + "/" + strconv.FormatInt(startedAt.UnixMilli(), 10))
}

func hex(n uint64) string { return strconv.FormatUint(n, 16) }
