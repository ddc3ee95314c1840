package emul

// Reasons in the error replies of the emulators.
const (
	reasonMalformed = "malformed"
	reasonFault     = "fault"     // an injected fault; nothing was run
	reasonTooLarge  = "tooLarge"  // a value above MaxValue
	reasonLease     = "lease"     // the lease has expired or never existed
	reasonQuery     = "query"     // the query is invalid; nothing was run
	reasonCancelled = "cancelled" // the sub-request was cancelled while running
	reasonDeadline  = "deadline"  // the deadline passed while the sub-request was running
	reasonStopped   = "stopped"   // the server stopped while the sub-request was running
	reasonTarget    = "target"    // the target matches no server
	reasonAction    = "action"    // the action is unknown or does not fit the server's state
)
