package team

// Bounds of the numbers in a document.
const (
	maxDeadlineMs     = 60_000
	maxHitLimit       = 10_000
	maxHedgeBudget    = 0.2
	maxRetryBudget    = 0.5
	maxRetries        = 8
	minQuantile       = 0.5
	maxPerSecond      = 10_000_000
	maxConcurrent     = 10_000_000
	maxSlots          = 100_000
	maxConnsPerServer = 100_000
)

func documentFields() []field[Document] {
	return []field[Document]{
		required(integerField("version", "Version of the format.", unitCount, FormatVersion, FormatVersion,
			func(doc *Document) *int { return &doc.Version })),
		nameField("team", "The team, which must be that of the subtree.",
			func(doc *Document) *string { return &doc.Team }),
		objectField("limits", "Bounds over all VMs together.", limitsFields(),
			func(doc *Document) *Limits { return &doc.Limits }),
		mapField("searches", "The kinds of searches, by name.", 0, searchFields(),
			func(doc *Document) *map[string]Search { return &doc.Searches }),
		mapField("registers", "The registers, by name.", 0, registerFields(),
			func(doc *Document) *map[string]Register { return &doc.Registers }),
	}
}

func limitsFields() []field[Limits] {
	return []field[Limits]{
		withDefault(numberField("searchesPerSecond", "Most searches admitted a second; 0 is no limit.", unitRate, 0, maxPerSecond,
			func(lim *Limits) *float64 { return &lim.SearchesPerSecond }), 0),
		withDefault(integerField("concurrent", "Most searches in flight; 0 is no limit.", unitCount, 0, maxConcurrent,
			func(lim *Limits) *int { return &lim.Concurrent }), 0),
	}
}

func searchFields() []field[Search] {
	return []field[Search]{
		nameField("register", "The register that is searched.",
			func(sch *Search) *string { return &sch.Register }),
		enumField("class", "Class of admission, first to last: urgent, interactive, batch.", Classes(),
			func(sch *Search) *Class { return &sch.Class }),
		integerField("softDeadlineMs", "When an answer with enough coverage goes out, in milliseconds; the hard deadline where absent.",
			unitMillis, 1, maxDeadlineMs, func(sch *Search) *int64 { return &sch.SoftDeadlineMs }),
		required(integerField("hardDeadlineMs", "When the answer goes out with what there is, in milliseconds.",
			unitMillis, 1, maxDeadlineMs, func(sch *Search) *int64 { return &sch.HardDeadlineMs })),
		withDefault(numberField("minCoverage", "Least share of shards that an answer at the soft deadline must have.", unitShare, 0, 1,
			func(sch *Search) *float64 { return &sch.MinCoverage }), 0),
		boolField("neverRepeat", "Whether every search of this kind needs a ticket and runs at most once.",
			func(sch *Search) *bool { return &sch.NeverRepeat }),
		withDefault(integerField("hitLimit", "Most hits of an answer.", unitCount, 1, maxHitLimit,
			func(sch *Search) *int { return &sch.HitLimit }), DefaultHitLimit),
		objectField("hedge", "Second attempts at stragglers.", hedgeFields(),
			func(sch *Search) *Hedge { return &sch.Hedge }),
		objectField("retry", "Further attempts after refusals and failures.", retryFields(),
			func(sch *Search) *Retry { return &sch.Retry }),
	}
}

func hedgeFields() []field[Hedge] {
	return []field[Hedge]{
		withDefault(quantileField("quantile", "Quantile of the observed latency after which a hedge goes out; 0 is no hedging.", minQuantile,
			func(hdg *Hedge) *float64 { return &hdg.Quantile }), 0),
		withDefault(numberField("budget", "Share of the primaries that hedges may add.", unitShare, 0, maxHedgeBudget,
			func(hdg *Hedge) *float64 { return &hdg.Budget }), 0),
		withDefault(integerField("minDelayMs", "Least delay before a hedge, in milliseconds.", unitMillis, 0, maxDeadlineMs,
			func(hdg *Hedge) *int64 { return &hdg.MinDelayMs }), 0),
	}
}

func retryFields() []field[Retry] {
	return []field[Retry]{
		withDefault(numberField("budget", "Share of the primaries that retries may add.", unitShare, 0, maxRetryBudget,
			func(rty *Retry) *float64 { return &rty.Budget }), 0),
		withDefault(integerField("perShard", "Most attempts on one shard after the first.", unitCount, 0, maxRetries,
			func(rty *Retry) *int { return &rty.PerShard }), 0),
	}
}

func registerFields() []field[Register] {
	return []field[Register]{
		mapField("services", "Groups of servers that hold the same shards, by name.", 1, serviceFields(),
			func(reg *Register) *map[string]Service { return &reg.Services }),
	}
}

func serviceFields() []field[Service] {
	return []field[Service]{
		required(integerField("slotsPerServer", "Sub-requests that a server runs at once.", unitCount, 1, maxSlots,
			func(svc *Service) *int { return &svc.SlotsPerServer })),
		required(integerField("connectionsPerServer", "Connections that a server accepts, from all VMs together; at least slotsPerServer.",
			unitCount, 1, maxConnsPerServer, func(svc *Service) *int { return &svc.ConnectionsPerServer })),
		listField("servers", "The servers; none may appear twice in the document.", serverFields(),
			func(svc *Service) *[]Server { return &svc.Servers }),
	}
}

func serverFields() []field[Server] {
	return []field[Server]{
		addressField("addr", "IP address and port.", func(srv *Server) *string { return &srv.Addr }),
		nameField("dataCentre", "The data centre that the server is in.", func(srv *Server) *string { return &srv.DataCentre }),
	}
}
