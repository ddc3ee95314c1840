package member

import "time"

// Message is the content of a beat and of its reply.
type Message struct {
	// From is the sender's own state.
	From Member
	// Joining is set if the sender is new or was paused: the message then carries no state but the
	// sender's own.
	Joining bool
	// WantPage requests a page of the receiver's table; the zero value requests none.
	WantPage Cursor
	// Members are state updates and, while digests differ, a page of the table.
	Members []Member
	// NextPage is the start of the page after the requested one; its After is empty if that was the
	// last page.
	NextPage Cursor
	// Digest covers the members of the sender's data centre.
	Digest uint64
	// OtherDataCentre describes one other data centre, with its digest and the time since its last
	// message; zero if there is none.
	OtherDataCentre DataCentreView
}

// Cursor is a position in the table of a data centre: it selects the VMs with an address after After.
type Cursor struct {
	DataCentre string
	After      string
}

// DataCentreView is the sender's view of another data centre.
type DataCentreView struct {
	DataCentre string
	Digest     uint64
	// SinceHeard is the time since the last message from the data centre; negative if there was none.
	SinceHeard time.Duration
}
