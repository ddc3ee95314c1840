package meter

import "laburnumvane/core/toggle"

// Families of counters; each is counted by reason.
const (
	// Refusal counts requests that this VM refused itself, by reason.
	Refusal = "refusal"
	// Operator counts requests of operators that were refused, by reason.
	Operator = "operator"
	// Admitted counts searches that were let in, by class.
	Admitted = "admitted"
	// Outcome counts searches by outcome.
	Outcome = "outcome"
	// Incomplete counts searches that were not complete, by reason.
	Incomplete = "incomplete"
	// Retry counts sub-requests sent again, by reason of the failure before.
	Retry = "retry"
	// Upstream counts refusals and failures of sub-requests, by reason.
	Upstream = "upstream"
	// Dropped counts replies that matched nothing, by reason.
	Dropped = "dropped"
	// Sent counts sub-requests by kind of attempt.
	Sent = "sent"
	// Connection counts what happened to connections to upstreams, by event.
	Connection = "connection"
	// Platform counts calls to the platform and those that failed, by operation.
	Platform = "platform"
	// Change counts operators' changes by result.
	Change = "change"
	// Config counts what happened to teams' configurations on this VM.
	Config = "config"
	// Member counts what happened between this VM and the others.
	Member = "member"
	// Server counts what was learnt of upstream servers and decided on them.
	Server = "server"
	// ServerState counts upstream servers that came into a state.
	ServerState = "serverState"
	// Sign counts signs on upstream servers that this VM told others, by kind.
	Sign = "sign"
	// Logged counts what became of log lines.
	Logged = "logged"
	// Poison counts what became known of requests under which servers ended, by what is
	// thought of them then.
	Poison = "poison"
	// Evacuation counts data centres that the operator had evacuated and took back.
	Evacuation = "evacuation"
	// Off is 1 for each mechanism that is switched off.
	Off = "off"
)

// Histograms, in milliseconds.
const (
	SearchLatency = "latency.searchMs"
	SubLatency    = "latency.subRequestMs"
	QueueLatency  = "latency.queueMs"
)

// Gauges.
const (
	InFlight    = "inFlight.searches"
	Connections = "connections"
	Workers     = "workers.running"
	// InnerIn and InnerOut are the bytes read and written on the listener for
	// other VMs since the start.
	InnerIn  = "inner.bytesIn"
	InnerOut = "inner.bytesOut"
)

// Other is the reason under which a family counts what there is no room to
// count by name.
const Other = "other"

// listed gives the reasons of all families. A test compares them with the source
// of the packages that count, and with docs/METRICS.md.
func listed() map[string][]string {
	refusals := []string{"shed", "draining", "snapshotGone", "cold", "expired", "notHeld", "otherRefusal"}
	failures := []string{
		"dial", "noConnection", "backoff", "connectionRefused", "write", "timeout", "reset", "silent", "status",
		"decode", "closed", "join", "workers", "foreignReply", "internal",
	}
	machine := []string{"deadline", "softDeadline", "cancelled", "noReplica", "retryBudget"}
	// What both listeners refuse before a handler is asked.
	border := []string{
		"badRequest", "mediaType", "tooLarge", "headersTooLarge", "requestTimeout", "noSuchRoute",
		"methodNotAllowed", "expectation", "internal",
	}
	operators := []string{"unauthorized", "otherTeam", "noConfig", "invalid", "platform", "leaving", "preconditionRequired"}
	replies := []string{"otherSnapshot", "wrongReply"}
	limits := []string{
		"deadlineTooClose", "waitTooLong", "queueFull", "teamQueueFull", "waited", "teamRate", "teamConcurrent", "callerGone",
	}
	own := []string{"noConfig", "unknownSearch", "noUpstreams"}
	// Of routed requests: why one was not answered whole, what became of
	// attempts, and what is refused.
	routed := []string{"target", "noUpstream", "attempts", "mayHaveRun", "clientGone", "crashesServers"}
	unrouted := []string{"noRequestId", "noConfiguration", "noRoom", "cutOff", "homeLost", "crashesServers", "awaitedTrial"}
	verdicts := []string{"failed", "refused", "elsewhere", "lost", "unsent", "doubted"}
	return map[string][]string{
		Refusal:    join(border, own, limits, ticketReasons(), unrouted, []string{"leaving"}),
		Operator:   join(border, operators),
		Admitted:   {"urgent", "interactive", "batch"},
		Outcome:    {"complete", "partial", "notRun", "unknown", "served", "failed", "gone"},
		Incomplete: join(own, limits, ticketReasons(), machine, replies, refusals, failures, routed, []string{"badRequest"}),
		Retry:      join(replies, refusals, failures, verdicts),
		Upstream:   join(refusals, failures, verdicts, []string{"moveBudget", "noRoom", "dropped", "garbled", "warming", "badLoad"}),
		Dropped:    {"foreign", "afterAnswer"},
		Sent:       {"primary", "first", "hedge", "retry", "home", "homeNone", "homeLost", "joined", "warned", "forOthers", "otherRoute", "trial", "warming", "check"},
		Connection: {
			"opened", "dialFailed", "refused", "stale", "silent", "late", "ping", "pingFailed", "cancelSent",
			"cancelLeft", "idleClosed", "backoff", "probe", "open", "openFailed", "openReset", "ended", "closing",
			"cut", "old", "spare", "stray", "unasked", "serverEnded",
		},
		Platform: {
			"get", "getFailed", "range", "rangeFailed", "swap", "swapFailed", "watch", "watchFailed", "vmsFailed",
			"store", "storeFailed", "peer", "peerFailed", "peerEmpty", "tell", "tellFailed", "packFailed", "probe", "probeFailed", "compacted",
			"enter", "enlist", "enlistFailed", "removeDead", "share",
			"hint", "hintFailed", "hintUnreadable",
		},
		Change: {"accepted", "conflict", "unknown", "dryRun", "refused"},
		Config: {
			"applied", "older", "unreadable", "pushed", "pushFailed", "pulled", "pullFailed", "compareFailed", "restored", "restoreUnreadable",
			"abandoned", "messageUnreadable", "alarm.serviceDown", "alarm.unreadable",
			"alarm.broken", "alarm.serviceBehind", "alarm.servicePast", "alarm.sameRevision",
		},
		Member: {
			"candidate", "live", "suspect", "leaving", "gone", "woke", "beatServed", "beatFailed", "helpAsked",
			"signHeard", "signDropped", "demandDropped", "ticketsElsewhere",
		},
		Server:      {"probe", "hintLags", "oldNews", "newSnapshot", "holdingDropped", "tooManyConnections"},
		ServerState: {"unknown", "cold", "serving", "shedding", "suspect", "draining", "gone"},
		Sign:        {"leaving", "unreachable", "returned"},
		Off:         mechanisms(),
		Evacuation:  {"begun", "ended"},
		Poison:      {"clear", "suspect", "blocked", "notShared", "hinted"},
		Logged:      {"searches", "sampledOut", "lost"},
	}
}

// ticketReasons are why a search with a ticket is refused.
func ticketReasons() []string {
	return []string{
		"ticketNeeded", "ticketForged", "ticketOfOtherTeam", "ticketOfOtherRequest", "ticketTableFull",
		"ticketExpired", "ticketVoid", "ticketUnverified", "ticketRunning", "ticketAnswerForgotten", "ticketIssuerUnreachable",
		"ticketIssuerSilent",
	}
}

// mechanisms lists those that can be switched off.
func mechanisms() []string {
	var all []string
	for _, me := range toggle.All() {
		all = append(all, me.String())
	}
	return all
}

func join(lists ...[]string) []string {
	var all []string
	for _, list := range lists {
		all = append(all, list...)
	}
	return all
}

// Reasons lists the reasons of each family of counters.
func Reasons() map[string][]string {
	return listed()
}

// Histograms lists the names of all histograms.
func Histograms() []string {
	return []string{SearchLatency, SubLatency, QueueLatency}
}

// Gauges lists the names of all gauges.
func Gauges() []string {
	return []string{InFlight, Connections, Workers, InnerIn, InnerOut}
}
