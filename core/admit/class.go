package admit

import "laburnumvane/core/team"

// Class is the priority of a search; a lower value goes first.
type Class uint8

// Classes from the highest to the lowest priority.
const (
	Urgent Class = iota
	Interactive
	Batch
)

// Classes is the number of classes.
const Classes = 3

// ClassOf returns the class that a team's configuration names. An unknown name
// gives the lowest class, so that a typing error never gains priority.
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
