package peerws

import (
	"sync"

	"monsoonlanding/internal/core/peer"
)

// queueCapacity bounds the number of messages queued for one peer.
const queueCapacity = 4096

// queue holds the messages for one peer that are not written yet. It takes memory only for
// what it holds: a node has a queue for each of its peers, and nearly all are empty.
type queue struct {
	mu       sync.Mutex
	messages []peer.Message
	// added receives a value when messages are added; its reader calls next until there
	// are none left.
	added chan struct{}
}

func newQueue() *queue { return &queue{added: make(chan struct{}, 1)} }

// add appends a message and reports whether there was room for it.
func (q *queue) add(m peer.Message) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.messages) >= queueCapacity {
		return false
	}
	q.messages = append(q.messages, m)
	select {
	case q.added <- struct{}{}:
	default:
	}
	return true
}

// next removes and returns the first message.
func (q *queue) next() (m peer.Message, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.messages) == 0 {
		return nil, false
	}
	m = q.messages[0]
	q.messages = q.messages[1:]
	if len(q.messages) == 0 {
		q.messages = nil
	}
	return m, true
}

func (q *queue) isEmpty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.messages) == 0
}
