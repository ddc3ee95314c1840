package meter

import "laburnumvane/core/toggle"

// Families of counters. Each family has one counter per reason.
const (
	// Refusal counts requests that this VM itself refused, by reason.
	Refusal = "refusal"
	// Operator counts requests of operators that were refused, by reason.
	Operator = "operator"
	// Admitted counts admitted searches, by class.
	Admitted = "admitted"
	// Outcome counts searches by outcome.
	Outcome = "outcome"
	// Incomplete counts searches that were not answered completely, by reason.
	Incomplete = "incomplete"
	// Retry counts sub-requests that were sent again, by the reason of the previous failure.
	Retry = "retry"
	// Upstream counts refusals and failures of sub-requests, by reason.
	Upstream = "upstream"
	// Dropped counts replies that matched no request, by reason.
	Dropped = "dropped"
	// Sent counts sub-requests, by kind of attempt.
	Sent = "sent"
	// Connection counts events on connections to upstreams.
	Connection = "connection"
	// Platform counts calls to the platform and failed calls, by operation.
	Platform = "platform"
	// Change counts operators' changes, by result.
	Change = "change"
	// Config counts events in the teams' configurations on this VM.
	Config = "config"
	// Member counts events between this VM and other VMs.
	Member = "member"
	// Server counts what this VM learned and decided about upstream servers.
	Server = "server"
	// ServerState counts transitions of upstream servers, by the new state.
	ServerState = "serverState"
	// Sign counts reports on upstream servers that this VM sent to other VMs, by kind.
	Sign = "sign"
	// Logged counts log lines, by what became of them.
	Logged = "logged"
	// Poison counts updates on requests that crash servers, by the resulting state.
	Poison = "poison"
	// Evacuation counts evacuations of data centres that operators began and ended.
	Evacuation = "evacuation"
	// Limit counts calls between VMs for the limits of accounts.
	Limit = "limit"
	// Off is 1 for each disabled mechanism.
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
	// InnerIn and InnerOut are the bytes read and written since the start on the listener for
	// other VMs.
	InnerIn  = "inner.bytesIn"
	InnerOut = "inner.bytesOut"
)

// Other is the reason under which a family counts reasons that got no counter of their own.
const Other = "other"

// listed returns the reasons of all families. A test compares them with the source of the
// packages that count, and with docs/METRICS.md.
func listed() map[string][]string {
	refusals := []string{"shed", "draining", "snapshotGone", "cold", "expired", "notHeld", "otherRefusal"}
	failures := []string{
		"dial", "noConnection", "backoff", "connectionRefused", "write", "timeout", "reset", "silent", "status",
		"decode", "closed", "join", "workers", "foreignReply", "internal",
	}
	searchFailures := []string{"deadline", "softDeadline", "cancelled", "noReplica", "retryBudget"}
	// Refusals by the listeners of callers and operators before a handler is called.
	listenerRefusals := []string{
		"badRequest", "mediaType", "tooLarge", "headersTooLarge", "requestTimeout", "noSuchRoute",
		"methodNotAllowed", "expectation", "internal",
	}
	operators := []string{"unauthorized", "otherTeam", "noConfig", "invalid", "platform", "leaving", "preconditionRequired"}
	replies := []string{"otherSnapshot", "wrongReply"}
	limits := []string{
		"deadlineTooClose", "waitTooLong", "queueFull", "teamQueueFull", "waited", "teamRate", "teamConcurrent", "callerGone",
		"serversBusy", "accountShare", "vmBusy",
	}
	configFailures := []string{"noConfig", "unknownSearch", "noUpstreams"}
	routedFailures, routedRefusals := routedReasons()
	verdicts := []string{"failed", "refused", "elsewhere", "lost", "unsent", "doubted"}
	return map[string][]string{
		Refusal:    concat(listenerRefusals, configFailures, limits, ticketReasons(), routedRefusals, []string{"leaving"}),
		Operator:   concat(listenerRefusals, operators),
		Admitted:   {"urgent", "interactive", "batch"},
		Outcome:    {"complete", "partial", "notRun", "unknown", "served", "failed", "gone"},
		Incomplete: concat(configFailures, limits, ticketReasons(), searchFailures, replies, refusals, failures, routedFailures, []string{"badRequest"}),
		Retry:      concat(replies, refusals, failures, verdicts),
		Upstream:   concat(refusals, failures, verdicts, []string{"moveBudget", "noRoom", "dropped", "garbled", "warming", "badLoad"}),
		Dropped:    {"foreign", "afterAnswer"},
		Sent:       {"primary", "first", "hedge", "retry", "home", "homeNone", "homeSelf", "homeLost", "leaving", "joined", "warned", "forOthers", "otherRoute", "trial", "warming", "check"},
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
			"vmProbe", "vmProbeFailed", "vmGivenUp",
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
		Limit:       {"call", "callFailed"},
		Logged:      {"searches", "sampledOut", "lost"},
	}
}

// ticketReasons returns the reasons for refusing a search with a ticket.
func ticketReasons() []string {
	return []string{
		"ticketNeeded", "ticketForged", "ticketOfOtherTeam", "ticketOfOtherRequest", "ticketTableFull",
		"ticketExpired", "ticketVoid", "ticketUnverified", "ticketRunning", "ticketAnswerForgotten", "ticketIssuerUnreachable",
		"ticketIssuerSilent",
	}
}

// mechanisms returns the names of the mechanisms that can be disabled.
func mechanisms() []string {
	var all []string
	for _, me := range toggle.All() {
		all = append(all, me.String())
	}
	return all
}

func concat(lists ...[]string) []string {
	var all []string
	for _, list := range lists {
		all = append(all, list...)
	}
	return all
}

// Reasons returns the reasons of each family of counters.
func Reasons() map[string][]string {
	return listed()
}

// Histograms returns the names of all histograms.
func Histograms() []string {
	return []string{SearchLatency, SubLatency, QueueLatency}
}

// Gauges returns the names of all gauges.
func Gauges() []string {
	return []string{InFlight, Connections, Workers, InnerIn, InnerOut}
}

// routedReasons lists the reasons for incomplete answers to routed requests and those for refusing
// them.
func routedReasons() (failures, refusals []string) {
	failures = []string{"target", "noUpstream", "attempts", "mayHaveRun", "clientGone", "crashesServers"}
	refusals = concat(
		[]string{"noKey", "malformedKey", "duplicateKey", "unknownKey", "staleAccounts", "mayBeRevoked"},
		[]string{"noRequestId", "noConfiguration", "noRoom", "cutOff", "homeLost", "crashesServers", "awaitedTrial", "overLimit", "noLimitHolder"},
	)
	return failures, refusals
}
