package emul

// Reasons in the error replies of the stand-ins.
const (
	reasonMalformed = "malformed"
	reasonFault     = "fault"     // an injected fault; nothing ran
	reasonTooLarge  = "tooLarge"  // a value above MaxValue
	reasonLease     = "lease"     // the lease named has lapsed or never was
	reasonQuery     = "query"     // the query is not understood; nothing ran
	reasonCancelled = "cancelled" // given up while it ran
	reasonDeadline  = "deadline"  // the time ran out while it ran
	reasonStopped   = "stopped"   // the server went away while it ran
	reasonTarget    = "target"    // no server is meant
	reasonAction    = "action"    // an action that does not fit the server's state
)
