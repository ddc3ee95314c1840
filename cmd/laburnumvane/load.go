package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"laburnumvane/io/emul"
	"laburnumvane/io/wire"
)

const (
	defaultLoadRate    = 100
	defaultLoadFor     = 10 * time.Second
	defaultLoadCount   = 1_000_000
	defaultLoadMembers = 2000
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:      "load",
		Usage:     "send a bounded load of searches to VMs on this machine",
		ArgsUsage: "IP:PORT ...",
		Description: `Sends searches to the callers' listeners given as arguments, each search to one
of them at random, and reports the outcomes.

Arrival times are drawn from a seed and do not depend on the answers to earlier
searches: the rate does not drop when a VM slows down, and its delay shows in
the latencies, which count from the scheduled arrival. Arrivals above
--max-in-flight are dropped and counted. "lag" is the longest delay of this tool
itself: if it is large, the figures measure the machine rather than the VMs.

Without --query each search looks up one plate of a sample register of so many
--members, as "laburnumvane demo --stay" serves one.

Only loopback addresses are accepted. The load ends at --count arrivals or after
--for, whichever is first; Ctrl-C ends it sooner, with the report.

Exit codes: 0 where at least one search was answered, 1 where none was, 2 for
wrong flags.

Examples:
   laburnumvane load 127.0.0.1:7701
   laburnumvane load --rate 2000 --for 30s 127.0.0.1:7701 127.0.0.1:7711
   laburnumvane load --search history --query '{"plan":"plus"}' --json 127.0.0.1:7701 |
      jq .latencyMs.p99`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "team", Aliases: []string{"t"}, Value: demoTeam, Usage: "the team's `NAME`", Sources: cli.EnvVars("LABURNUMVANE_TEAM")},
			&cli.StringFlag{Name: "search", Aliases: []string{"s"}, Value: "kiosk", Usage: "the `KIND` of search"},
			&cli.StringFlag{Name: "query", Aliases: []string{"q"}, Usage: "the same query for all, as `JSON`"},
			&cli.IntFlag{Name: "members", Value: defaultLoadMembers, Usage: "`NUMBER` of members of the sample register"},
			&cli.DurationFlag{Name: "deadline", Usage: "answer within this time, such as 300ms; without it the configuration's"},
			&cli.FloatFlag{Name: "rate", Value: defaultLoadRate, Usage: "mean `NUMBER` of arrivals a second"},
			&cli.IntFlag{Name: "count", Value: defaultLoadCount, Usage: "end after `NUMBER` arrivals"},
			&cli.DurationFlag{Name: "for", Value: defaultLoadFor, Usage: "end after this time"},
			&cli.DurationFlag{Name: "timeout", Value: emul.DefaultLoadTimeout, Usage: "how long to wait for an answer"},
			&cli.IntFlag{Name: "max-in-flight", Value: emul.DefaultMaxInFlight, Usage: "`NUMBER` of searches in flight above which arrivals are dropped"},
			&cli.Uint64Flag{Name: "seed", Value: demoSeed, Usage: "`NUMBER` that seeds arrivals, targets and plates"},
			jsonFlag(),
		},
		Action: loadAction,
	}
}

func loadAction(ctx context.Context, cmd *cli.Command) error {
	requests, err := loadRequests(cmd)
	if err != nil {
		return err
	}
	lo, err := emul.NewLoad(emul.LoadConfig{
		Targets:     cmd.Args().Slice(),
		Rate:        cmd.Float("rate"),
		Count:       cmd.Int("count"),
		Duration:    cmd.Duration("for"),
		Request:     requests,
		Timeout:     cmd.Duration("timeout"),
		MaxInFlight: cmd.Int("max-in-flight"),
		Seed:        cmd.Uint64("seed"),
	})
	if err != nil {
		return usageError(cmd.FullName(), "%v", err)
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	rep, err := lo.Run(ctx)
	if err != nil {
		return failure(cmd.FullName(), err)
	}
	if err := printLoad(cmd, reportOf(rep)); err != nil {
		return err
	}
	if rep.Latency.TotalCount() == 0 {
		return silentError(cmd.FullName(), KindFailure)
	}
	return nil
}

// loadRequests returns the generator of the requests to send. It checks the flags that define them.
func loadRequests(cmd *cli.Command) (emul.RequestMaker, error) {
	op := cmd.FullName()
	team, search, deadline := cmd.String("team"), cmd.String("search"), cmd.Duration("deadline")
	if cmd.IsSet("deadline") && deadline < time.Millisecond {
		return nil, usageError(op, "--deadline is at least 1ms, not %s", deadline)
	}
	if cmd.Int("members") < 1 {
		return nil, usageError(op, "--members is at least 1")
	}
	next := emul.PlateLookups(team, search, cmd.Int("members"))
	if query := cmd.String("query"); query != "" {
		if !json.Valid([]byte(query)) {
			return nil, usageError(op, "--query is not JSON")
		}
		next = func(*rand.Rand, int) wire.SearchRequest {
			return wire.SearchRequest{Team: team, Search: search, Query: json.RawMessage(query), Repeat: wire.RepeatSafe}
		}
	}
	return func(rd *rand.Rand, n int) wire.SearchRequest {
		rq := next(rd, n)
		rq.DeadlineMs = deadline.Milliseconds()
		return rq
	}, nil
}

// loadReport is what load prints with --json.
type loadReport struct {
	Arrivals  uint64                  `json:"arrivals"`
	Dropped   uint64                  `json:"dropped"`
	Failed    uint64                  `json:"failed"`
	FirstFail string                  `json:"firstFail,omitempty"`
	Outcomes  map[wire.Outcome]uint64 `json:"outcomes"`
	Reasons   map[string]uint64       `json:"reasons"`
	LatencyMs loadLatency             `json:"latencyMs"`
	Coverage  float64                 `json:"coverage"`
	Work      wire.Work               `json:"work"`
	// ExtraWork is hedges and retries as a share of primaries.
	ExtraWork float64 `json:"extraWork"`
	LagMs     float64 `json:"lagMs"`
	ElapsedMs float64 `json:"elapsedMs"`
}

type loadLatency struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

func reportOf(lr emul.LoadReport) loadReport {
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	at := func(quantile float64) float64 { return ms(lr.Quantile(quantile)) }
	return loadReport{
		Arrivals:  lr.Arrivals,
		Dropped:   lr.Dropped,
		Failed:    lr.Failed,
		FirstFail: lr.FirstError,
		Outcomes:  lr.Outcomes,
		Reasons:   lr.Reasons,
		LatencyMs: loadLatency{P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: at(100)},
		Coverage:  lr.Coverage,
		Work:      lr.Work,
		ExtraWork: lr.ExtraWorkShare(),
		LagMs:     ms(lr.MaxLag),
		ElapsedMs: ms(lr.Elapsed),
	}
}

func printLoad(cmd *cli.Command, rep loadReport) error {
	if cmd.Bool("json") {
		return printJSON(cmd, rep)
	}
	tbl := newTable(cmd.Root().Writer)
	tbl.row("arrivals", fmt.Sprintf("%d in %s", rep.Arrivals, millis(rep.ElapsedMs)))
	for _, oc := range slices.Sorted(maps.Keys(rep.Outcomes)) {
		tbl.row(string(oc), number(rep.Outcomes[oc]))
	}
	tbl.row("dropped", number(rep.Dropped))
	tbl.row("failed", number(rep.Failed))
	if rep.FirstFail != "" {
		tbl.row("first failure", rep.FirstFail)
	}
	for _, reason := range slices.Sorted(maps.Keys(rep.Reasons)) {
		tbl.row("reason "+reason, number(rep.Reasons[reason]))
	}
	la := rep.LatencyMs
	tbl.row("latency", fmt.Sprintf("p50 %s, p90 %s, p99 %s, p99.9 %s, most %s",
		millis(la.P50), millis(la.P90), millis(la.P99), millis(la.P999), millis(la.Max)))
	tbl.row("coverage", fmt.Sprintf("%.4f", rep.Coverage))
	tbl.row("work", fmt.Sprintf("%d primaries, %d hedges, %d retries (%.2f%% extra)",
		rep.Work.Primaries, rep.Work.Hedges, rep.Work.Retries, 100*rep.ExtraWork))
	tbl.row("lag", millis(rep.LagMs))
	tbl.flush()
	return nil
}
