package main

import (
	"laburnumvane/core/conns"
)

// tables returns all tables of the page, in its order.
func tables(sl *slopeList) []Table {
	return []Table{
		sizeTable(),
		trafficTable(sl),
		controlTable(sl),
		savingsTable(sl),
		serviceTable(sl),
		connectionTable(sl),
		todayTable(),
		waitsTable(sl),
		alternativesTable(sl),
		batchTable(sl),
		failureTable(sl),
		slopeTable(sl),
	}
}

func sizeTable() Table {
	return Table{
		Name: "size",
		Head: []string{"per", "figure"},
		Rows: [][]string{
			{"data centre", formatWhole(nodesPerCentre) + " nodes, " + formatWhole(serversPerCentre) + " servers, " + formatWhole(searchesPerCentre) + " searches/s"},
			{"node", formatWhole(searchesPerNode) + " searches/s, " + formatWhole(subsPerNode) + " sub-requests/s"},
			{"server", formatWhole(subsPerServer) + " sub-requests/s"},
			{"shard of one register over a whole data centre", formatNumber(replicasPerShard) + " replicas"},
			{"fleet", formatNumber(changesPerSecond) + " changes/s, one replacement each " + formatNumber(1/bootsPerSecond) + " s, " + formatWhole(failuresPerDay) + " failures a day"},
		},
	}
}

const (
	micros = 1e-6
	nanos  = 1e-9
	millis = 1e-3
	mega   = 1e6
	kibi   = 1 << 10
)

func trafficTable(sl *slopeList) Table {
	row := func(role, cpu, sent, received string, rate float64, mechanism string) []string {
		return []string{
			role,
			formatWhole(rate) + "/s",
			formatNumber(rate*sl.value(cpu)*micros) + " cores",
			formatNumber(rate*(sl.value(sent)+sl.value(received))/mega) + " MB/s",
			mechanism,
		}
	}
	extra := subsPerNode * (hedgeShare + retryShare)
	return Table{
		Name: "traffic",
		Head: []string{"role", "rate per node", "processor", "bytes, both ways", "mechanism"},
		Rows: [][]string{
			row("callers' listener", "callerCPU", "callerReceived", "callerSent", searchesPerNode, "`io/front`, one goroutine a connection"),
			row("sub-requests, one hit each", "exchangeCPU1", "exchangeSent1", "exchangeReceived1", subsPerNode, "`io/drive`, `core/search`, `io/upst`, workers of `ants`"),
			row("the same with ten hits each", "exchangeCPU10", "exchangeSent10", "exchangeReceived10", subsPerNode, "the same"),
			row("hedges and retries at budgets of 3% and 10%", "exchangeCPU1", "exchangeSent1", "exchangeReceived1", extra, "token budgets of `core/budget`, set for each search in the configuration"),
			{"limits, shares and admission", formatWhole(subsPerNode) + "/s", formatNumber((subsPerNode*sl.value("limitSub")+searchesPerNode*(sl.value("shareTake")+sl.value("admitDecision")))*nanos) + " cores", "0", "`core/limit`, `core/share`, `core/admit`: no message before a search"},
			{"tickets, for one search in ten", formatWhole(searchesPerNode*ticketShare) + "/s", formatNumber(searchesPerNode*ticketShare*sl.value("ticket")*nanos) + " cores", "0 at the issuer", "`core/ticket`; a foreign one costs a forwarded search"},
			{"memory allocated and collected", formatWhole(searchesPerNode) + "/s", "in the above", formatNumber(searchesPerNode*sl.value("exchangeAlloc1")/mega) + " MB/s of garbage", "records made ahead for each search"},
		},
	}
}

// Hedges and retries that the budgets of a search kind allow, as shares of its primaries, and the share
// of searches that must not be repeated. All three are assumed.
const (
	hedgeShare  = 0.03
	retryShare  = 0.10
	ticketShare = 0.10
)

// controlCost is the cost of one control role on a node.
type controlCost struct {
	role      string
	core      float64 // percent of a core
	memory    float64 // bytes
	bytes     float64 // per second, sent and received
	mechanism string
}

func controlCosts(sl *slopeList) []controlCost {
	beats := sl.value("beatCPU") + sl.value("beatPeerCPU")
	teamBytes := (sl.value("spreadMemory1000") - sl.value("spreadMemory10")) * kibi / (1000 - 10)
	churn := (sl.value("memberBytesChurn") - sl.value("memberBytes")) * bootsPerSecond
	return []controlCost{
		{"membership: decisions", sl.value("memberCore") * micros * 100, sl.value("memberHeap") * 1000, 0, "`core/member`: three rings of neighbours, digests"},
		{"membership: messages", ringBeats * beats * micros * 100, 0, sl.value("memberBytes") + churn, "heartbeats over twirp, news of 0.08 replacements a second on them"},
		{"what rides on heartbeats, at the most", 0, 0, piggybackBytes * ridingMessages, "`io/node` riders: leaving signs, demands, hints; bounded by room"},
		{"configuration: watch, relay, leaf", sl.value("spreadCore"), sl.value("spreadMemory10")*kibi + teams*teamBytes, sl.value("spreadBytes"), "`core/spread`: ranked watchers, trees of eight, digests"},
		{"configuration: reading documents", changesPerSecond * (sl.value("parse")*nanos + sl.value("documentPlaced")*millis) * 100, 0, 0, "`core/team`, `io/node`: each node reads each change once and places its servers"},
		{"upstreams: states and maps", serversPerCentre * sl.value("serverStep") * nanos * 100, sl.value("upstreamsHeap") * mega, 0, "`core/server`: control is told only where there is something to decide; here one tally a second of each server of the data centre"},
		{"upstreams: load endpoints", 0, 0, pollBytes, "`core/server.Polls`: a budget of bytes, not of servers"},
		{"connections: shares", 2 * bootsPerSecond * sl.value("vmJoins") * millis * 100, 0, 0, "`core/conns`: worked out by each node from its view, no message; one VM gone and one come with each replacement"},
	}
}

// Bounds that the code sets, in addition to the measured slopes.
const (
	ringBeats      = 3.0
	piggybackBytes = 192
	ridingMessages = 12
	pollBytes      = 2 << 10
)

func controlTable(sl *slopeList) Table {
	tb := Table{
		Name: "control",
		Head: []string{"role", "% of a core", "memory", "bytes/s, both ways", "mechanism"},
	}
	var sum controlCost
	for _, cost := range controlCosts(sl) {
		sum.core += cost.core
		sum.memory += cost.memory
		sum.bytes += cost.bytes
		tb.Rows = append(tb.Rows, []string{cost.role, formatOrDash(cost.core, ""), formatOrDash(cost.memory/mega, " MB"), formatOrDash(cost.bytes, ""), cost.mechanism})
	}
	tb.Rows = append(tb.Rows,
		[]string{"**sum**", formatNumber(sum.core), formatNumber(sum.memory/mega) + " MB", formatNumber(sum.bytes), ""},
		[]string{"**budget**", formatNumber(maxControlCore), formatNumber(maxControlMB) + " MB", formatNumber(maxControlBytes), budgetResult(sum)},
		[]string{"the busiest node", "", "", formatNumber(sum.bytes + sl.value("spreadBusiest") - sl.value("spreadBytes") + 2*sl.value("memberMost") - sl.value("memberBytes")), "one that watches or relays for its data centre"},
		[]string{
			"team limits, if every VM's demand reached every other", formatNumber(teams * sl.value("shareSecond") * nanos * 100), "",
			formatNumber(teams * nodes * sl.value("payloadDemand")), "`core/share`; not in the sum, as heartbeats do not carry it",
		},
	)
	return tb
}

// savingsTable returns the bytes per second that possible changes would save on a node, cumulatively.
func savingsTable(sl *slopeList) Table {
	left := 0.0
	for _, cost := range controlCosts(sl) {
		left += cost.bytes
	}
	headers := sl.value("beatSent0") + sl.value("beatReceived0") - 2*sl.value("payloadBeat")
	tb := Table{Name: "closing", Head: []string{"change", "saves B/s", "left", "of the budget"}}
	for _, step := range []struct {
		name  string
		saves float64
	}{
		{"none", 0},
		{"load endpoints polled a quarter as much", pollBytes * 3 / 4},
		{"half the room for riders", piggybackBytes * ridingMessages / 2},
		{"heartbeats without HTTP's headers", 2 * ringBeats * headers},
	} {
		left -= step.saves
		tb.Rows = append(tb.Rows, []string{step.name, formatOrDash(step.saves, ""), formatNumber(left), formatNumber(100*left/maxControlBytes) + "%"})
	}
	return tb
}

func formatOrDash(val float64, unit string) string {
	if val == 0 {
		return "-"
	}
	return formatNumber(val) + unit
}

func budgetResult(sum controlCost) string {
	text := ""
	for _, part := range []struct {
		name      string
		used, may float64
	}{
		{"processor", sum.core, maxControlCore},
		{"memory", sum.memory / mega, maxControlMB},
		{"bytes", sum.bytes, maxControlBytes},
	} {
		word := "met"
		if part.used > part.may {
			word = "MISSED"
		}
		text += part.name + " " + word + " (" + formatNumber(100*part.used/part.may) + "%); "
	}
	return text[:len(text)-len("; ")]
}

func serviceTable(sl *slopeList) Table {
	writes := changesPerSecond * swapsPerChange
	return Table{
		Name: "service",
		Head: []string{"user", "reads/s", "writes/s", "mechanism"},
		Rows: [][]string{
			{"watches, reads and changes of the fleet in ordinary running", formatNumber(sl.value("spreadCalls") - writes), formatNumber(writes), "two ranked watchers a data centre; one read and one swap a change"},
			{"the most in any second", formatWhole(sl.value("spreadPeak")), "-", "a token budget a VM, which shrinks as the fleet grows"},
			{"a replacement each 12 s, with the watches of four data centres", formatNumber(sl.value("spreadReplacement")), "0", "a VM that boots asks peers; eight watches alone are one call a second"},
			{"searches and tickets", "0", "0", "tickets live in the memory of the VM that issued them"},
			{"limits, shares, leaving signs", "0", "0", "they ride on heartbeats"},
			{"if every node watched", formatNumber(sl.value("watchAllCalls")) + ", " + formatWhole(sl.value("watchAllPeak")) + " in the fullest second, " + formatWhole(nodes) + " waiting", formatNumber(writes), "weighed and left: the service takes some 2,000 reads"},
		},
	}
}

const swapsPerChange = 1

// usableConns returns the share of a server's connection limit that is divided among the VMs of its
// data centre.
func usableConns(limit int) float64 {
	near, _ := conns.Split(limit, false)
	return float64(near)
}

// fanOutNodes returns the number of nodes of a data centre that can have the given number of
// connections to a server of every shard, and so can fan out a whole search.
func fanOutNodes(limit int, each float64) float64 {
	return min(nodesPerCentre, serversPerCentre*usableConns(limit)/(shardsPerSearch*each))
}

func connectionTable(sl *slopeList) Table {
	tb := Table{
		Name: "connections",
		Head: []string{
			"limit", "divided", "per node", "fan out with two each", "cores there",
			"with one each", "cores there", "exchange time at half use",
		},
	}
	for _, limit := range connLimits() {
		usable := usableConns(limit)
		row := []string{
			formatWhole(float64(limit)),
			formatWhole(usable),
			formatWhole(serversPerCentre * usable / nodesPerCentre),
		}
		for _, each := range []float64{connsPerFanOut, 1} {
			homes := fanOutNodes(limit, each)
			cores := searchesPerCentre / homes * shardsPerSearch * sl.value("exchangeCPU1") * micros
			row = append(row, formatWhole(homes)+" of "+formatWhole(nodesPerCentre)+" nodes", formatNumber(cores))
		}
		tb.Rows = append(tb.Rows, append(row, formatNumber(usable/2/subsPerServer*1000)+" ms"))
	}
	return tb
}

func waitsTable(sl *slopeList) Table {
	tb := Table{
		Name: "waits",
		Head: []string{"mean exchange", "one connection, on twice the nodes", "two", "three, on two thirds", "as many as wanted"},
	}
	for _, row := range []struct{ mean, name string }{{"0.5 ms", "Half"}, {"1 ms", "1"}, {"2 ms", "2"}} {
		cells := []string{row.mean}
		for _, conns := range []string{"One", "Two", "Three", "Many"} {
			cells = append(cells, formatNumber(sl.value("waits"+conns+row.name))+" ms")
		}
		tb.Rows = append(tb.Rows, cells)
	}
	return tb
}

func alternativesTable(sl *slopeList) Table {
	tb := Table{
		Name: "ways",
		Head: []string{
			"limit", "whole searches to home nodes, two connections each", "one each",
			"two levels, partial merges", "batches: sub-requests to a server in " + formatNumber(batchWindow) + " ms",
		},
	}
	hop := (sl.value("forwardCPU10") + sl.value("forwardPeerCPU10")) * micros
	for _, limit := range connLimits() {
		row := []string{formatWhole(float64(limit))}
		for _, each := range []float64{connsPerFanOut, 1} {
			away := 1 - fanOutNodes(limit, each)/nodesPerCentre
			row = append(row, formatNumber(searchesPerNode*away*hop)+" cores a node, "+formatWhole(100*away)+"% of searches")
		}
		parts := max(1, nodesPerCentre*connsPerFanOut/usableConns(limit))
		perServer := searchesPerCentre / fanOutNodes(limit, connsPerFanOut)
		tb.Rows = append(tb.Rows, append(row,
			formatNumber(searchesPerNode*parts*hop)+" cores a node, "+formatWhole(parts)+" parts",
			formatNumber(perServer*batchWindow/1000),
		))
	}
	return tb
}

// batchWindow is the longest time in milliseconds that a sub-request waits for others to the same
// server.
const batchWindow = 5.0

func batchTable(sl *slopeList) Table {
	tb := Table{
		Name: "batches",
		Head: []string{"sub-requests in an exchange", "processor for each", "of one by one", "bytes for each", "of one by one"},
	}
	for _, k := range []string{"1", "3", "9", "27", "90", "270"} {
		cpu, bytes := sl.value("batchCPU"+k), sl.value("batchSent"+k)+sl.value("batchReceived"+k)
		tb.Rows = append(tb.Rows, []string{
			k,
			formatNumber(cpu) + " us",
			formatNumber(cpu / sl.value("batchCPU1")),
			formatNumber(bytes),
			formatNumber(bytes / (sl.value("batchSent1") + sl.value("batchReceived1"))),
		})
	}
	return tb
}

func slopeTable(sl *slopeList) Table {
	tb := Table{Name: "slopes", Head: []string{"slope", "value", "unit", "day", "command"}}
	for _, slope := range sl.list {
		tb.Rows = append(tb.Rows, []string{slope.Name, formatNumber(slope.Value), slope.Unit, slope.Date, "`" + slope.command() + "`"})
	}
	return tb
}
