package wire

// LimitsOfVM is what a VM lets start, and what holds it back.
type LimitsOfVM struct {
	Teams  []TeamLimit `json:"teams"`
	Queues []QueueOfVM `json:"queues"`
	// ExtraLeft is the tokens left for hedges and retries of all searches
	// together, below 0 in debt; Budgets are those of each search alone.
	ExtraLeft int           `json:"extraLeft"`
	Budgets   []ExtraBudget `json:"budgets"`
}

// TeamLimit is this VM's part of a team's limits.
type TeamLimit struct {
	Team string `json:"team"`
	// Share is this VM's part, 0 to 1. Held is set while it may fall and not
	// rise: the VM is new, misses another, or knows of one that does.
	Share float64 `json:"share"`
	Held  bool    `json:"held"`
	// SearchesPerSecond and Concurrent are the team's limits over all VMs, 0
	// where there is none; the parts are what this VM has of them.
	SearchesPerSecond     float64 `json:"searchesPerSecond"`
	SearchesPerSecondPart float64 `json:"searchesPerSecondPart"`
	Concurrent            int     `json:"concurrent"`
	ConcurrentPart        int     `json:"concurrentPart"`
	InFlight              int     `json:"inFlight"`
}

// QueueOfVM is the searches of one register under way and waiting, by class.
type QueueOfVM struct {
	Register    string `json:"register"`
	InFlight    int    `json:"inFlight"`
	Urgent      int    `json:"urgent"`
	Interactive int    `json:"interactive"`
	Batch       int    `json:"batch"`
}

// ExtraBudget is the tokens left for one search's hedges and retries, below 0
// in debt.
type ExtraBudget struct {
	Search  string `json:"search"`
	Hedges  int    `json:"hedges"`
	Retries int    `json:"retries"`
}
