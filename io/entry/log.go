package entry

import (
	"fmt"
	"strings"
	"time"

	"laburnumvane/core/fanout"
)

// log writes the one log line of a request: the outcome, the version of the configuration, and
// what became of the attempts that did not serve.
func (fl *flight) log(an fanout.Answer, status int) {
	rq := fl.rq
	en := rq.logAccount(fl.en.cfg.Log.Info().Str("id", rq.id)).
		Str("route", fl.rt.Name).
		Uint64("version", configVersion(fl.vw)).
		Str("outcome", an.Outcome.String()).
		Int("status", status).
		Float64("ms", float64((an.At-rq.began).Microseconds())/1000).
		Float64("awayMs", float64(rq.transitTime.Microseconds())/1000).
		Float64("sentMs", float64((fl.firstSentAt-rq.began).Microseconds())/1000).
		Float64("slowestMs", float64(fl.slowestAttempt().Microseconds())/1000).
		Float64("waitedMs", float64(fl.longestWait().Microseconds())/1000).
		Int("parts", len(an.Winners)).
		Int("missing", an.Missing).
		Int("attempts", an.Attempts).
		Int("far", fl.remoteAttempts()).
		Int("joined", fl.joinedAttempts).
		Int("hedges", an.Hedges).
		Int("retries", an.Retries)
	if an.Reason != "" {
		en = en.Str("reason", an.Reason)
	}
	if an.Lacked {
		en = en.Bool("lacked", true)
	}
	if broken := fl.brokenAttempts(); broken > 0 {
		en = en.Int("broken", broken).Str("fingerprint", rq.fingerprint().String())
	}
	if text := fl.failures(); text != "" {
		en = en.Str("trouble", text)
	}
	en.Msg("answered")
}

// slowestAttempt returns the longest time that a server took.
func (fl *flight) slowestAttempt() time.Duration {
	var slowest time.Duration
	for _, ar := range fl.results {
		slowest = max(slowest, ar.rs.Took)
	}
	return slowest
}

// longestWait returns the longest time that an attempt waited for a connection.
func (fl *flight) longestWait() time.Duration {
	var longest time.Duration
	for _, ar := range fl.results {
		longest = max(longest, ar.rs.Waited)
	}
	return longest
}

// remoteAttempts counts the attempts that went to another data centre.
func (fl *flight) remoteAttempts() int {
	n := 0
	for k := range fl.results {
		if fl.machine.Upstream(k).DataCentre != fl.en.cfg.DataCentre {
			n++
		}
	}
	return n
}

// brokenAttempts counts the attempts under which the server closed the connection.
func (fl *flight) brokenAttempts() int {
	n := 0
	for _, ar := range fl.results {
		if ar.broken {
			n++
		}
	}
	return n
}

// maxFailuresLogged limits the attempts that a log line names.
const maxFailuresLogged = 6

// failures describes the attempts that did not serve, with their servers.
func (fl *flight) failures() string {
	var names []string
	for k, ar := range fl.results {
		if ar.verdict == fanout.Served {
			continue
		}
		if len(names) == maxFailuresLogged {
			names = append(names, "...")
			break
		}
		text := fl.machine.Upstream(k).ID + " " + ar.verdict.String()
		if ar.rs.Err != nil {
			text += " " + string(ar.rs.Err.Kind)
		}
		text += fl.loadText(k)
		names = append(names, text)
	}
	return strings.Join(names, ", ")
}

// loadText describes the last load report of an attempt's server: running, waiting and slots,
// its pace, and the age of the report.
func (fl *flight) loadText(k int) string {
	lo, age, ok := fl.en.cfg.Steer.LastLoad(fl.en.cfg.Clock(), fl.machine.Upstream(k).Process())
	if !ok {
		return ""
	}
	return fmt.Sprintf(" load %d/%d/%d pace %.2f %dms ago", lo.Running, lo.Waiting, lo.Slots, lo.Slowdown, age.Milliseconds())
}
