package wire

// LimitsOfVM has the limits and queues that decide which searches start on a VM.
type LimitsOfVM struct {
	Teams  []TeamLimit `json:"teams"`
	Queues []QueueOfVM `json:"queues"`
	// ExtraLeft is the number of tokens left for hedges and retries of all searches together,
	// which may be below 0. Budgets has the budgets of each search.
	ExtraLeft int           `json:"extraLeft"`
	Budgets   []ExtraBudget `json:"budgets"`
}

// TeamLimit is this VM's share of a team's limits.
type TeamLimit struct {
	Team string `json:"team"`
	// Share is this VM's share, 0 to 1. Held is set while it may decrease but not increase: the
	// VM is new, misses another VM, or knows of a VM that does.
	Share float64 `json:"share"`
	Held  bool    `json:"held"`
	// SearchesPerSecond and Concurrent are the team's limits over all VMs, 0 without a limit.
	// SearchesPerSecondPart and ConcurrentPart are this VM's shares of them.
	SearchesPerSecond     float64 `json:"searchesPerSecond"`
	SearchesPerSecondPart float64 `json:"searchesPerSecondPart"`
	Concurrent            int     `json:"concurrent"`
	ConcurrentPart        int     `json:"concurrentPart"`
	InFlight              int     `json:"inFlight"`
}

// QueueOfVM has the number of searches of one register in flight, and of those queued by class.
type QueueOfVM struct {
	Register    string `json:"register"`
	InFlight    int    `json:"inFlight"`
	Urgent      int    `json:"urgent"`
	Interactive int    `json:"interactive"`
	Batch       int    `json:"batch"`
}

// ExtraBudget has the tokens left for one search's hedges and retries, which may be below 0.
type ExtraBudget struct {
	Search  string `json:"search"`
	Hedges  int    `json:"hedges"`
	Retries int    `json:"retries"`
}
