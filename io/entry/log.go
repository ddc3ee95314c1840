package entry

import (
	"fmt"
	"strings"
	"time"

	"laburnumvane/core/fanout"
)

// log writes the one line of a request: what was decided, on which version, and
// of what the attempts that did not serve came to.
func (fl *flight) log(an fanout.Answer, status int) {
	rq := fl.rq
	en := fl.en.cfg.Log.Info().
		Str("id", rq.id).
		Str("route", fl.rt.Name).
		Uint64("version", version(fl.vw)).
		Str("outcome", an.Outcome.String()).
		Int("status", status).
		Float64("ms", float64((an.At-rq.began).Microseconds())/1000).
		Float64("awayMs", float64(rq.away.Microseconds())/1000).
		Float64("sentMs", float64((fl.sent-rq.began).Microseconds())/1000).
		Float64("slowestMs", float64(fl.slowest().Microseconds())/1000).
		Int("parts", len(an.Winners)).
		Int("missing", an.Missing).
		Int("attempts", an.Attempts).
		Int("far", fl.far()).
		Int("joined", fl.joined).
		Int("hedges", an.Hedges).
		Int("retries", an.Retries)
	if an.Reason != "" {
		en = en.Str("reason", an.Reason)
	}
	if broken := fl.broken(); broken > 0 {
		en = en.Int("broken", broken).Str("fingerprint", rq.fingerprint().String())
	}
	if trouble := fl.trouble(); trouble != "" {
		en = en.Str("trouble", trouble)
	}
	en.Msg("answered")
}

// slowest is the longest time that a server took.
func (fl *flight) slowest() time.Duration {
	var most time.Duration
	for _, ar := range fl.results {
		most = max(most, ar.rs.Took)
	}
	return most
}

// far counts the attempts that went to another data centre.
func (fl *flight) far() int {
	n := 0
	for k := range fl.results {
		if fl.machine.Upstream(k).DataCentre != fl.en.cfg.DataCentre {
			n++
		}
	}
	return n
}

// broken counts the attempts under which the server ended the connection.
func (fl *flight) broken() int {
	n := 0
	for _, ar := range fl.results {
		if ar.broken {
			n++
		}
	}
	return n
}

// mostTrouble bounds the attempts that a line names.
const mostTrouble = 6

// trouble names the attempts that did not serve, with their servers.
func (fl *flight) trouble() string {
	var names []string
	for k, ar := range fl.results {
		if ar.verdict == fanout.Served {
			continue
		}
		if len(names) == mostTrouble {
			names = append(names, "...")
			break
		}
		text := fl.machine.Upstream(k).ID + " " + ar.verdict.String()
		if ar.rs.Err != nil {
			text += " " + string(ar.rs.Err.Kind)
		}
		text += fl.loadOf(k)
		names = append(names, text)
	}
	return strings.Join(names, ", ")
}

// loadOf is what an attempt's server told last: running, waiting and slots, its pace, and how
// long ago.
func (fl *flight) loadOf(k int) string {
	lo, age, ok := fl.en.cfg.Steer.Told(fl.en.cfg.Clock(), fl.machine.Upstream(k).Process())
	if !ok {
		return ""
	}
	return fmt.Sprintf(" load %d/%d/%d pace %.2f %dms ago", lo.Running, lo.Waiting, lo.Slots, lo.Pace, age.Milliseconds())
}
