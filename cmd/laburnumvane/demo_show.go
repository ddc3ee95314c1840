package main

import (
	"fmt"
	"strings"

	"laburnumvane/io/wire"
)

// printAnswer prints an answer in human-readable form.
func (de *demo) printAnswer(an wire.SearchAnswer) {
	line := string(an.Outcome)
	if an.Reason != "" {
		line += " (" + an.Reason + ")"
	}
	de.printf("  %s, %d of %d shards (%.1f%%), snapshot %d, %.1f ms, %d primaries, %d hedges, %d retries",
		line, an.Coverage.Answered, an.Coverage.Shards, an.Coverage.Share*100,
		an.Snapshot, an.ElapsedMs, an.Work.Primaries, an.Work.Hedges, an.Work.Retries)
	if an.Message != "" {
		de.printf("  %s", an.Message)
	}
	for _, hi := range an.Hits {
		de.printf("    %s %s", hi.Member, hi.Fields)
	}
	if an.Truncated {
		de.printf("    ... and more")
	}
}

// formatOutcomes lists the counts by outcome, known outcomes first. It removes the known ones from
// counts.
func formatOutcomes(counts map[wire.Outcome]int) string {
	var parts []string
	for _, oc := range []wire.Outcome{wire.OutcomeComplete, wire.OutcomePartial, wire.OutcomeNotRun, wire.OutcomeUnknown} {
		if counts[oc] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", counts[oc], oc))
			delete(counts, oc)
		}
	}
	for oc, n := range counts {
		parts = append(parts, fmt.Sprintf("%d %s", n, oc))
	}
	if len(parts) == 0 {
		return "nothing"
	}
	return strings.Join(parts, ", ")
}

// printNextSteps prints the addresses and example commands for use while the demonstration keeps
// serving.
func (de *demo) printNextSteps() {
	de.printf("\nServing until Ctrl-C:")
	for i, nd := range de.st.Nodes() {
		addrs := nd.Addrs()
		de.printf("  VM %d: callers http://%s, operators http://%s", i+1, addrs.Caller, addrs.Operator)
	}
	first := de.st.Nodes()[0].Addrs()
	de.printf("\nTry:")
	de.printf(`  curl -s http://%s/v1/search -d '{"team":"%s","search":"kiosk","query":%s}'`, first.Caller, demoTeam, de.query())
	de.printf("  laburnumvane status --operator-url http://%s", first.Operator)
}
