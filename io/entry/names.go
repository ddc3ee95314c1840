package entry

// Names are the headers that clients and servers speak.
type Names struct {
	// RequestID names a client's attempt.
	RequestID string
	// Deadline is how many milliseconds the sender will wait.
	Deadline string
	// Receipt is a server's signature on its answer.
	Receipt string
	// Target names the process that is meant.
	Target string
	// NotRun is a server's word that it did not run a request.
	NotRun string
	// Parts lists the receipts of a gathered answer, Missing counts the shards
	// that are not in it.
	Parts   string
	Missing string
	// Load is how busy a server says that it is.
	Load string
	// Instance names the process that answers a status check.
	Instance string
}
