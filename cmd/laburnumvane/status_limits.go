package main

import (
	"fmt"
	"io"

	"laburnumvane/io/wire"
)

// printLimits prints the limits that admit or delay searches: team limits, queues and budgets.
func printLimits(out io.Writer, lm *wire.LimitsOfVM) {
	if lm == nil {
		return
	}
	printTeamLimits(out, lm.Teams)
	printQueues(out, lm.Queues)
	printBudgets(out, lm)
}

func printTeamLimits(out io.Writer, tls []wire.TeamLimit) {
	if len(tls) == 0 {
		return
	}
	fmt.Fprintln(out)
	tbl := newTable(out, "TEAM", "SHARE", "HELD", "SEARCHES/S", "IN FLIGHT", "AT MOST")
	for _, tl := range tls {
		share := fmt.Sprintf("%.1f%%", 100*tl.Share)
		tbl.row(tl.Team, share, yesNo(tl.Held), rateOf(tl), number(tl.InFlight), concurrencyOf(tl))
	}
	tbl.flush()
}

func rateOf(tl wire.TeamLimit) string {
	if tl.SearchesPerSecond == 0 {
		return "no limit"
	}
	return fmt.Sprintf("%.1f of %.1f", tl.SearchesPerSecondPart, tl.SearchesPerSecond)
}

func concurrencyOf(tl wire.TeamLimit) string {
	if tl.Concurrent == 0 {
		return "no limit"
	}
	return fmt.Sprintf("%d of %d", tl.ConcurrentPart, tl.Concurrent)
}

func printQueues(out io.Writer, qus []wire.QueueOfVM) {
	if len(qus) == 0 {
		return
	}
	fmt.Fprintln(out)
	tbl := newTable(out, "QUEUE", "IN FLIGHT", "URGENT", "INTERACTIVE", "BATCH")
	for _, qu := range qus {
		tbl.row(qu.Register, number(qu.InFlight), number(qu.Urgent), number(qu.Interactive), number(qu.Batch))
	}
	tbl.flush()
}

func printBudgets(out io.Writer, lm *wire.LimitsOfVM) {
	fmt.Fprintln(out)
	tbl := newTable(out, "TOKENS LEFT", "HEDGES", "RETRIES", "BOTH")
	tbl.row("all searches", "", "", number(lm.ExtraLeft))
	for _, eb := range lm.Budgets {
		tbl.row(eb.Search, number(eb.Hedges), number(eb.Retries), "")
	}
	tbl.flush()
}

// usedOf formats how much of an allowance is used.
func usedOf(used, allowed int) string {
	return fmt.Sprintf("%d/%d", used, allowed)
}
