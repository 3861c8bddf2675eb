package node

import (
	"sync"

	"monsoonlanding/internal/core/caller"
	"monsoonlanding/internal/core/node"
	"monsoonlanding/internal/wire/callerhttp"
)

// connQueueSize bounds the number of events that wait for one caller to read.
const connQueueSize = 1024

// connections holds the queues of events for the callers' open connections.
type connections struct {
	submit func(node.Event)

	mu     sync.Mutex
	lastID uint64
	queues map[uint64]chan caller.StreamEvent
}

func newConnections(submit func(node.Event)) *connections {
	return &connections{submit: submit, queues: make(map[uint64]chan caller.StreamEvent)}
}

// open adds a connection.
func (c *connections) open() callerhttp.Connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	id := c.lastID
	events := make(chan caller.StreamEvent, connQueueSize)
	c.queues[id] = events
	return callerhttp.Connection{ID: id, Events: events, Close: func() { c.remove(id) }}
}

// send queues an event for a caller. A caller that reads too slowly, so that its
// queue is full, is disconnected and may reconnect to resume the answer.
func (c *connections) send(id uint64, e caller.StreamEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	events := c.queues[id]
	if events == nil {
		return
	}
	select {
	case events <- e:
	default:
		close(events)
		delete(c.queues, id)
		countSlowCaller()
	}
}

// remove deletes a connection and notifies the node that its caller has
// disconnected.
func (c *connections) remove(id uint64) {
	c.mu.Lock()
	delete(c.queues, id)
	c.mu.Unlock()
	c.submit(node.CallerDisconnected{Conn: id})
}

// closeAll ends all connections.
func (c *connections) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, events := range c.queues {
		close(events)
		delete(c.queues, id)
	}
}
