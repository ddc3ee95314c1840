package member

import "time"

// Message is what two VMs tell each other, in a beat and in its answer.
type Message struct {
	// From is the sender as it knows itself.
	From Member
	// Joining tells that the sender is new or was paused: it speaks for
	// nobody but itself.
	Joining bool
	// Want asks for a page of the receiver's table, empty for none.
	Want Place
	// Members are news and, while digests differ, a part of the table.
	Members []Member
	// Next is where the page after the one that was wanted begins; its After
	// is empty if there is none.
	Next Place
	// Digest covers the sender's data centre.
	Digest uint64
	// Other is one other data centre, with its digest and the time since it
	// was heard from; empty where there is none.
	Other Link
}

// Place is a place in the table of a data centre: all VMs after an address.
type Place struct {
	DataCentre string
	After      string
}

// Link is what a VM knows of another data centre.
type Link struct {
	DataCentre string
	Digest     uint64
	// Silent is the time since the data centre was heard from; negative if
	// it never was.
	Silent time.Duration
}
