package drive

import (
	"sync"

	"laburnumvane/core/search"
)

// mailbox hands events from workers to a search. Posting never blocks: a worker
// whose reply comes after the answer must not hang on a search that is gone.
type mailbox struct {
	mu     sync.Mutex
	events []search.Event
	closed bool
	signal chan struct{}
}

func newMailbox(room int) *mailbox {
	return &mailbox{
		events: make([]search.Event, 0, room),
		signal: make(chan struct{}, 1),
	}
}

// post tells whether the event will be read.
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

// swap takes all waiting events and leaves buf, which was read, for the next.
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
