package entry

// HeaderNames are the names of the headers that clients and servers use.
type HeaderNames struct {
	// RequestID identifies one attempt of a client.
	RequestID string
	// Deadline is how many milliseconds the sender will wait.
	Deadline string
	// Receipt is a server's signature of its response.
	Receipt string
	// Target identifies the server process for which a request is meant.
	Target string
	// NotRun is set by a server that did not run the request.
	NotRun string
	// Parts lists the receipts of a gathered response; Missing is the number of shards that are
	// not in it.
	Parts   string
	Missing string
	// Load is a server's load report.
	Load string
	// Account is the name of the client account, for servers.
	Account string
	// Instance identifies the process that answers a status check.
	Instance string
}
