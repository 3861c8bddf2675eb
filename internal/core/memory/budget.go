package memory

import "sync"

// Use is what memory is taken for.
type Use string

// Uses.
const (
	Head   Use = "head"
	Body   Use = "body"
	Answer Use = "answer"
)

// Uses lists all uses.
func Uses() []Use { return []Use{Head, Body, Answer} }

const (
	// SmallBytes is the size up to which a lease is small.
	SmallBytes = 16 << 10
	// largeNumerator and largeDenominator are the fraction of the budget that large leases may use.
	largeNumerator   = 3
	largeDenominator = 4
)

// Budget accounts for memory. It is safe for concurrent use.
type Budget struct {
	total int64

	mu    sync.Mutex
	taken map[Use]int64
	sum   int64
	// large is the part of sum that large leases have taken.
	large   int64
	refused map[Use]int64
}

// New returns a budget of a number of bytes.
func New(total int64) *Budget {
	return &Budget{total: total, taken: make(map[Use]int64), refused: make(map[Use]int64)}
}

// Total returns the size of the budget in bytes.
func (b *Budget) Total() int64 { return b.total }

// Taken returns the bytes that are taken now, by use.
func (b *Budget) Taken() map[Use]int64 { return b.copyOf(b.taken) }

// Refused returns how often memory was refused, by use.
func (b *Budget) Refused() map[Use]int64 { return b.copyOf(b.refused) }

func (b *Budget) copyOf(counts map[Use]int64) map[Use]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make(map[Use]int64)
	for _, use := range Uses() {
		list[use] = counts[use]
	}
	return list
}

// Lease returns an empty lease.
func (b *Budget) Lease(use Use) *Lease { return &Lease{budget: b, use: use} }

// Lease is the memory that one part of a request or answer has taken. It is used by one goroutine at
// a time.
type Lease struct {
	budget *Budget
	use    Use
	size   int64
}

// Size returns the bytes that are taken.
func (l *Lease) Size() int64 { return l.size }

// Grow takes further bytes. It reports false, and takes none, if they don't fit.
func (l *Lease) Grow(bytes int64) bool {
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	after := l.size + bytes
	addedLarge := largePart(after) - largePart(l.size)
	fits := b.sum+bytes <= b.total
	if addedLarge > 0 {
		fits = fits && b.large+addedLarge <= b.total/largeDenominator*largeNumerator
	}
	if !fits {
		b.refused[l.use]++
		return false
	}
	b.change(l.use, bytes, addedLarge)
	l.size = after
	return true
}

// Shrink gives back what is taken beyond a size.
func (l *Lease) Shrink(to int64) {
	if to >= l.size {
		return
	}
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.change(l.use, to-l.size, largePart(to)-largePart(l.size))
	l.size = to
}

// Release gives back all. It may be called more than once.
func (l *Lease) Release() { l.Shrink(0) }

// change adds to what is taken. The lock is held.
func (b *Budget) change(use Use, bytes, large int64) {
	b.taken[use] += bytes
	b.sum += bytes
	b.large += large
}

// largePart returns the part of a lease's size that counts as large: all of it or nothing.
func largePart(size int64) int64 {
	if size <= SmallBytes {
		return 0
	}
	return size
}
