package drive

import (
	"sync"

	"laburnumvane/core/search"
)

// mailbox passes events from workers to a search. Posting never blocks: a worker whose reply comes
// after the answer must not wait for a search that has ended.
type mailbox struct {
	mu     sync.Mutex
	events []search.Event
	closed bool
	signal chan struct{}
}

func newMailbox(capacity int) *mailbox {
	return &mailbox{
		events: make([]search.Event, 0, capacity),
		signal: make(chan struct{}, 1),
	}
}

// post adds an event. It reports whether the event will be read.
func (mb *mailbox) post(ev search.Event) bool {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	if mb.closed {
		return false
	}
	mb.events = append(mb.events, ev)
	select {
	case mb.signal <- struct{}{}:
	default:
	}
	return true
}

// swap returns all waiting events. It reuses buf, whose events have been processed, for the next.
func (mb *mailbox) swap(buf []search.Event) []search.Event {
	clear(buf)
	mb.mu.Lock()
	defer mb.mu.Unlock()
	events := mb.events
	mb.events = buf[:0]
	return events
}

func (mb *mailbox) close() {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	mb.closed = true
	mb.events = nil
}
