package admit

import "laburnumvane/core/team"

// Class orders searches; a lower value goes first.
type Class uint8

// Classes, first to last.
const (
	Urgent Class = iota
	Interactive
	Batch
)

// Classes is their number.
const Classes = 3

// ClassOf is the class that a team's configuration names; an unknown name
// counts as the last class, so that a slip never jumps the queue.
func ClassOf(tc team.Class) Class {
	switch tc {
	case team.ClassUrgent:
		return Urgent
	case team.ClassInteractive:
		return Interactive
	default:
		return Batch
	}
}
