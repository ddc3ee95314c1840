package main

import (
	"laburnumvane/core/conns"
)

// tables are all of the page, in its order.
func tables(sl *slopes) []Table {
	return []Table{
		sizeTable(),
		trafficTable(sl),
		controlTable(sl),
		closingTable(sl),
		serviceTable(sl),
		connectionTable(sl),
		todayTable(),
		waitsTable(sl),
		waysTable(sl),
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
			{"data centre", whole(nodesPerCentre) + " nodes, " + whole(serversPerCentre) + " servers, " + whole(searchesPerCentre) + " searches/s"},
			{"node", whole(searchesPerNode) + " searches/s, " + whole(subsPerNode) + " sub-requests/s"},
			{"server", whole(subsPerServer) + " sub-requests/s"},
			{"shard of one register over a whole data centre", num(replicasPerShard) + " replicas"},
			{"fleet", num(changesPerSecond) + " changes/s, one replacement each " + num(1/bootsPerSecond) + " s, " + whole(failuresPerDay) + " failures a day"},
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

func trafficTable(sl *slopes) Table {
	row := func(role, cpu, sent, received string, rate float64, mechanism string) []string {
		return []string{
			role,
			whole(rate) + "/s",
			num(rate*sl.of(cpu)*micros) + " cores",
			num(rate*(sl.of(sent)+sl.of(received))/mega) + " MB/s",
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
			{"limits, shares and admission", whole(subsPerNode) + "/s", num((subsPerNode*sl.of("limitSub")+searchesPerNode*(sl.of("shareTake")+sl.of("admitDecision")))*nanos) + " cores", "0", "`core/limit`, `core/share`, `core/admit`: no message before a search"},
			{"tickets, for one search in ten", whole(searchesPerNode*ticketShare) + "/s", num(searchesPerNode*ticketShare*sl.of("ticket")*nanos) + " cores", "0 at the issuer", "`core/ticket`; a foreign one costs a forwarded search"},
			{"memory allocated and collected", whole(searchesPerNode) + "/s", "in the above", num(searchesPerNode*sl.of("exchangeAlloc1")/mega) + " MB/s of garbage", "records made ahead for each search"},
		},
	}
}

// What the budgets of a search kind allow beside its primaries, and the share of
// searches that must not be repeated; all three are assumed.
const (
	hedgeShare  = 0.03
	retryShare  = 0.10
	ticketShare = 0.10
)

// control is what a role costs a node, in parts of the budget.
type control struct {
	role      string
	core      float64 // per cent of a core
	memory    float64 // bytes
	bytes     float64 // a second, both ways
	mechanism string
}

func controls(sl *slopes) []control {
	beats := sl.of("beatCPU") + sl.of("beatPeerCPU")
	teamBytes := (sl.of("spreadMemory1000") - sl.of("spreadMemory10")) * kibi / (1000 - 10)
	churn := (sl.of("memberBytesChurn") - sl.of("memberBytes")) * bootsPerSecond
	return []control{
		{"membership: decisions", sl.of("memberCore") * micros * 100, sl.of("memberHeap") * 1000, 0, "`core/member`: three rings of neighbours, digests"},
		{"membership: messages", ringBeats * beats * micros * 100, 0, sl.of("memberBytes") + churn, "heartbeats over twirp, news of 0.08 replacements a second on them"},
		{"what rides on heartbeats, at the most", 0, 0, riderBytes * ridingMessages, "`io/node` riders: leaving signs, demands, hints; bounded by room"},
		{"configuration: watch, relay, leaf", sl.of("spreadCore"), sl.of("spreadMemory10")*kibi + teams*teamBytes, sl.of("spreadBytes"), "`core/spread`: ranked watchers, trees of eight, digests"},
		{"configuration: reading documents", changesPerSecond * (sl.of("parse")*nanos + sl.of("documentPlaced")*millis) * 100, 0, 0, "`core/team`, `io/node`: each node reads each change once and places its servers"},
		{"upstreams: states and maps", serversPerCentre * sl.of("serverStep") * nanos * 100, sl.of("upstreamsHeap") * mega, 0, "`core/server`: control is told only where there is something to decide; here one tally a second of each server of the data centre"},
		{"upstreams: load endpoints", 0, 0, pollBytes, "`core/server.Polls`: a budget of bytes, not of servers"},
		{"connections: shares", 2 * bootsPerSecond * sl.of("vmJoins") * millis * 100, 0, 0, "`core/conns`: worked out by each node from its view, no message; one VM gone and one come with each replacement"},
	}
}

// Bounds that the code sets, beside what was measured.
const (
	ringBeats      = 3.0
	riderBytes     = 192
	ridingMessages = 12
	pollBytes      = 2 << 10
)

func controlTable(sl *slopes) Table {
	tb := Table{
		Name: "control",
		Head: []string{"role", "% of a core", "memory", "bytes/s, both ways", "mechanism"},
	}
	var sum control
	for _, ro := range controls(sl) {
		sum.core += ro.core
		sum.memory += ro.memory
		sum.bytes += ro.bytes
		tb.Rows = append(tb.Rows, []string{ro.role, orNone(ro.core, ""), orNone(ro.memory/mega, " MB"), orNone(ro.bytes, ""), ro.mechanism})
	}
	tb.Rows = append(tb.Rows,
		[]string{"**sum**", num(sum.core), num(sum.memory/mega) + " MB", num(sum.bytes), ""},
		[]string{"**budget**", num(maxControlCore), num(maxControlMB) + " MB", num(maxControlBytes), verdict(sum)},
		[]string{"the busiest node", "", "", num(sum.bytes + sl.of("spreadBusiest") - sl.of("spreadBytes") + 2*sl.of("memberMost") - sl.of("memberBytes")), "one that watches or relays for its data centre"},
		[]string{
			"team limits, if every VM's demand reached every other", num(teams * sl.of("shareSecond") * nanos * 100), "",
			num(teams * nodes * sl.of("payloadDemand")), "`core/share`; not in the sum, as heartbeats do not carry it",
		},
	)
	return tb
}

// closingTable is what changes would take off the bytes of a node, one after the
// other.
func closingTable(sl *slopes) Table {
	left := 0.0
	for _, ro := range controls(sl) {
		left += ro.bytes
	}
	headers := sl.of("beatSent0") + sl.of("beatReceived0") - 2*sl.of("payloadBeat")
	tb := Table{Name: "closing", Head: []string{"change", "saves B/s", "left", "of the budget"}}
	for _, step := range []struct {
		name  string
		saves float64
	}{
		{"none", 0},
		{"load endpoints polled a quarter as much", pollBytes * 3 / 4},
		{"half the room for riders", riderBytes * ridingMessages / 2},
		{"heartbeats without HTTP's headers", 2 * ringBeats * headers},
	} {
		left -= step.saves
		tb.Rows = append(tb.Rows, []string{step.name, orNone(step.saves, ""), num(left), num(100*left/maxControlBytes) + "%"})
	}
	return tb
}

func orNone(val float64, unit string) string {
	if val == 0 {
		return "-"
	}
	return num(val) + unit
}

func verdict(sum control) string {
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
		text += part.name + " " + word + " (" + num(100*part.used/part.may) + "%); "
	}
	return text[:len(text)-len("; ")]
}

func serviceTable(sl *slopes) Table {
	writes := changesPerSecond * swapsPerChange
	return Table{
		Name: "service",
		Head: []string{"user", "reads/s", "writes/s", "mechanism"},
		Rows: [][]string{
			{"watches, reads and changes of the fleet in ordinary running", num(sl.of("spreadCalls") - writes), num(writes), "two ranked watchers a data centre; one read and one swap a change"},
			{"the most in any second", whole(sl.of("spreadPeak")), "-", "a token budget a VM, which shrinks as the fleet grows"},
			{"a replacement each 12 s, with the watches of four data centres", num(sl.of("spreadReplacement")), "0", "a VM that boots asks peers; eight watches alone are one call a second"},
			{"searches and tickets", "0", "0", "tickets live in the memory of the VM that issued them"},
			{"limits, shares, leaving signs", "0", "0", "they ride on heartbeats"},
			{"if every node watched", num(sl.of("watchAllCalls")) + ", " + whole(sl.of("watchAllPeak")) + " in the fullest second, " + whole(nodes) + " waiting", num(writes), "weighed and left: the service takes some 2,000 reads"},
		},
	}
}

const swapsPerChange = 1

// usableOf is the part of a server's connections that its data centre divides.
func usableOf(limit int) float64 {
	near, _ := conns.Split(limit, false)
	return float64(near)
}

// fanNodes is the number of nodes of a data centre that can hold so many
// connections to a server for every shard, and so send a search by themselves.
func fanNodes(limit int, each float64) float64 {
	return min(nodesPerCentre, serversPerCentre*usableOf(limit)/(shardsPerSearch*each))
}

func connectionTable(sl *slopes) Table {
	tb := Table{
		Name: "connections",
		Head: []string{
			"limit", "divided", "per node", "fan out with two each", "cores there",
			"with one each", "cores there", "exchange time at half use",
		},
	}
	for _, limit := range connLimits() {
		usable := usableOf(limit)
		row := []string{
			whole(float64(limit)),
			whole(usable),
			whole(serversPerCentre * usable / nodesPerCentre),
		}
		for _, each := range []float64{spareConns, 1} {
			homes := fanNodes(limit, each)
			cores := searchesPerCentre / homes * shardsPerSearch * sl.of("exchangeCPU1") * micros
			row = append(row, whole(homes)+" of "+whole(nodesPerCentre)+" nodes", num(cores))
		}
		tb.Rows = append(tb.Rows, append(row, num(usable/2/subsPerServer*1000)+" ms"))
	}
	return tb
}

func waitsTable(sl *slopes) Table {
	tb := Table{
		Name: "waits",
		Head: []string{"mean exchange", "one connection, on twice the nodes", "two", "three, on two thirds", "as many as wanted"},
	}
	for _, row := range []struct{ mean, name string }{{"0.5 ms", "Half"}, {"1 ms", "1"}, {"2 ms", "2"}} {
		cells := []string{row.mean}
		for _, conns := range []string{"One", "Two", "Three", "Many"} {
			cells = append(cells, num(sl.of("waits"+conns+row.name))+" ms")
		}
		tb.Rows = append(tb.Rows, cells)
	}
	return tb
}

func waysTable(sl *slopes) Table {
	tb := Table{
		Name: "ways",
		Head: []string{
			"limit", "whole searches to home nodes, two connections each", "one each",
			"two levels, partial merges", "batches: sub-requests to a server in " + num(batchWindow) + " ms",
		},
	}
	hop := (sl.of("forwardCPU10") + sl.of("forwardPeerCPU10")) * micros
	for _, limit := range connLimits() {
		row := []string{whole(float64(limit))}
		for _, each := range []float64{spareConns, 1} {
			away := 1 - fanNodes(limit, each)/nodesPerCentre
			row = append(row, num(searchesPerNode*away*hop)+" cores a node, "+whole(100*away)+"% of searches")
		}
		parts := max(1, nodesPerCentre*spareConns/usableOf(limit))
		perServer := searchesPerCentre / fanNodes(limit, spareConns)
		tb.Rows = append(tb.Rows, append(row,
			num(searchesPerNode*parts*hop)+" cores a node, "+whole(parts)+" parts",
			num(perServer*batchWindow/1000),
		))
	}
	return tb
}

// batchWindow is how long a sub-request may wait for others to the same server,
// in milliseconds.
const batchWindow = 5.0

func batchTable(sl *slopes) Table {
	tb := Table{
		Name: "batches",
		Head: []string{"sub-requests in an exchange", "processor for each", "of one by one", "bytes for each", "of one by one"},
	}
	for _, k := range []string{"1", "3", "9", "27", "90", "270"} {
		cpu, bytes := sl.of("batchCPU"+k), sl.of("batchSent"+k)+sl.of("batchReceived"+k)
		tb.Rows = append(tb.Rows, []string{
			k,
			num(cpu) + " us",
			num(cpu / sl.of("batchCPU1")),
			num(bytes),
			num(bytes / (sl.of("batchSent1") + sl.of("batchReceived1"))),
		})
	}
	return tb
}

func slopeTable(sl *slopes) Table {
	tb := Table{Name: "slopes", Head: []string{"slope", "value", "unit", "day", "command"}}
	for _, one := range sl.list {
		tb.Rows = append(tb.Rows, []string{one.Name, num(one.Value), one.Unit, one.Date, "`" + one.command() + "`"})
	}
	return tb
}
