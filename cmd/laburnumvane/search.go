package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"laburnumvane/io/wire"
)

func searchCommand() *cli.Command {
	return &cli.Command{
		Name:      "search",
		Usage:     "run one search and print the answer",
		ArgsUsage: "[FIELD=VALUE ...]",
		Description: `Runs one search of a kind that the team's configuration names, and prints
what was found, how much of the register that covers, and what it cost.

The query is built from FIELD=VALUE arguments, whose values are text, or given
whole as JSON with --query, where "-" reads it from standard input.

A search that must not be repeated needs a ticket (see "laburnumvane ticket").
Sending the same ticket again never runs the search again: it gives the first
run's answer, or "unknown".

Exit codes: 0 for a complete or partial answer, 3 for one that did not run, 4
for one of which nothing is known, also when the connection broke after the
search was sent. With --need-complete a partial answer ends in 1.

Examples:
   laburnumvane search --team wash --search kiosk plate=KX53
   laburnumvane search --team wash --search history --deadline 800ms \
      --min-coverage 0.9 member=m-1042
   laburnumvane search --team wash --search renew --repeat never \
      --ticket "$(laburnumvane ticket --team wash)" member=m-1042
   echo '{"name":"Ada"}' | laburnumvane search -t hr --search enrolled --query - --json`,
		Flags: callerFlags(
			teamFlag(),
			&cli.StringFlag{Name: "search", Aliases: []string{"s"}, Required: true, Usage: "the `KIND` of search"},
			&cli.StringFlag{Name: "register", Usage: "the register; without it the configuration's"},
			&cli.StringFlag{Name: "query", Aliases: []string{"q"}, Usage: "the query as `JSON`, or - for standard input"},
			&cli.DurationFlag{Name: "deadline", Usage: "answer within this time, such as 300ms; without it the configuration's"},
			&cli.FloatFlag{Name: "min-coverage", Usage: "least `SHARE` of shards, 0 to 1, to answer early with"},
			&cli.StringFlag{Name: "repeat", Usage: "safe or never: whether the search may run more than once"},
			&cli.StringFlag{Name: "ticket", Usage: "the `TICKET` of a search that must not be repeated"},
			&cli.StringFlag{Name: "id", Usage: "your `ID` for the request, echoed in the answer and the VM's log"},
			&cli.BoolFlag{Name: "need-complete", Usage: "end in 1 unless every shard answered"},
		),
		Action: searchAction,
	}
}

func searchAction(ctx context.Context, cmd *cli.Command) error {
	req, err := searchRequest(cmd)
	if err != nil {
		return err
	}
	clr, err := callerOf(cmd)
	if err != nil {
		return err
	}
	ans, err := clr.Search(ctx, req)
	if err != nil {
		return err
	}
	if err := printAnswer(cmd, ans); err != nil {
		return err
	}
	return answerError(cmd, ans)
}

func searchRequest(cmd *cli.Command) (wire.SearchRequest, error) {
	op := cmd.FullName()
	req := wire.SearchRequest{
		ID: cmd.String("id"), Team: cmd.String("team"), Search: cmd.String("search"),
		Register: cmd.String("register"), Ticket: cmd.String("ticket"),
		Repeat: wire.Repeat(cmd.String("repeat")),
	}
	switch req.Repeat {
	case "", wire.RepeatSafe, wire.RepeatNever:
	default:
		return req, usageError(op, "--repeat is safe or never, not %s", req.Repeat)
	}
	if cmd.IsSet("deadline") {
		dl := cmd.Duration("deadline")
		if dl < time.Millisecond {
			return req, usageError(op, "--deadline is at least 1ms, not %s", dl)
		}
		req.DeadlineMs = dl.Milliseconds()
	}
	if cmd.IsSet("min-coverage") {
		mc := cmd.Float("min-coverage")
		if !(mc >= 0 && mc <= 1) {
			return req, usageError(op, "--min-coverage is between 0 and 1, not %g", mc)
		}
		req.MinCoverage = &mc
	}
	qry, err := searchQuery(cmd)
	req.Query = qry
	return req, err
}

func searchQuery(cmd *cli.Command) (json.RawMessage, error) {
	op := cmd.FullName()
	if !cmd.IsSet("query") {
		return queryOfArgs(op, cmd.Args().Slice())
	}
	if cmd.Args().Present() {
		return nil, usageError(op, "give the query as --query or as FIELD=VALUE, not both")
	}
	raw := []byte(cmd.String("query"))
	if string(raw) == "-" {
		var err error
		if raw, err = readInput(cmd, "-"); err != nil {
			return nil, err
		}
	}
	if !json.Valid(raw) {
		return nil, usageError(op, "--query is not JSON")
	}
	return raw, nil
}

func queryOfArgs(op string, args []string) (json.RawMessage, error) {
	if len(args) == 0 {
		return nil, usageError(op, "wants a query: FIELD=VALUE arguments or --query JSON")
	}
	fields := make(map[string]string, len(args))
	for _, arg := range args {
		name, val, ok := strings.Cut(arg, "=")
		if !ok || name == "" {
			return nil, usageError(op, "%s is not FIELD=VALUE", arg)
		}
		if _, dup := fields[name]; dup {
			return nil, usageError(op, "field %s is given twice", name)
		}
		fields[name] = val
	}
	raw, err := json.Marshal(fields)
	if err != nil {
		return nil, failure(op, err)
	}
	return raw, nil
}

func printAnswer(cmd *cli.Command, ans wire.SearchAnswer) error {
	if cmd.Bool("json") {
		return printJSON(cmd, ans)
	}
	out := cmd.Root().Writer
	tbl := newTable(out)
	tbl.row("outcome", string(ans.Outcome))
	if ans.Reason != "" {
		tbl.row("reason", strings.TrimSuffix(ans.Reason+": "+ans.Message, ": "))
	}
	tbl.row("coverage", fmt.Sprintf("%d of %d shards (%.4f)", ans.Coverage.Answered, ans.Coverage.Shards, ans.Coverage.Share))
	tbl.row("snapshot", number(ans.Snapshot))
	tbl.row("elapsed", millis(ans.ElapsedMs))
	tbl.row("work", fmt.Sprintf("%d primaries, %d hedges, %d retries", ans.Work.Primaries, ans.Work.Hedges, ans.Work.Retries))
	if ans.RetryAfterMs > 0 {
		tbl.row("retry after", fmt.Sprintf("%d ms", ans.RetryAfterMs))
	}
	tbl.row("id", ans.ID)
	tbl.flush()
	printHits(out, ans)
	return nil
}

func printHits(out io.Writer, ans wire.SearchAnswer) {
	if len(ans.Hits) == 0 {
		return
	}
	fmt.Fprintln(out)
	tbl := newTable(out, "MEMBER", "KEY", "FIELDS")
	for _, hit := range ans.Hits {
		tbl.row(hit.Member, hit.Key, string(hit.Fields))
	}
	tbl.flush()
	if ans.Truncated {
		fmt.Fprintln(out, "More was found than the limit of hits allows.")
	}
}

func answerError(cmd *cli.Command, ans wire.SearchAnswer) error {
	op := cmd.FullName()
	switch ans.Outcome {
	case wire.OutcomeNotRun:
		return silentError(op, KindNotAccepted)
	case wire.OutcomeUnknown:
		return silentError(op, KindUnknown)
	case wire.OutcomePartial:
		if cmd.Bool("need-complete") {
			return silentError(op, KindFailure)
		}
	}
	return nil
}
