package steer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/fanout"
	"laburnumvane/core/origin"
	"laburnumvane/core/steer"
)

// Requests were refused for one slow shard although the least coverage could be met, or sent
// although it could not.
func TestCoverage(t *testing.T) {
	const usual = 10 * time.Millisecond
	cases := []struct {
		name     string
		slow     int
		lost     int
		minParts int
		enough   bool
		inTime   bool
	}{
		{"all healthy", 0, 0, 4, true, true},
		{"one slow shard, not needed", 1, 0, 3, true, true},
		{"one slow shard, needed", 1, 0, 4, true, false},
		{"one shard without server, not needed", 0, 1, 3, true, true},
		{"one shard without server, needed", 0, 1, 4, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tb := steer.New(steer.Config{DataCentre: "east"})
			var shards [][]*origin.Upstream
			for _, id := range []string{"a", "b", "c", "d"} {
				shards = append(shards, []*origin.Upstream{{ID: id, Addr: id, DataCentre: "east"}})
			}
			now := time.Second
			for i := range tc.slow {
				up := shards[i][0]
				for range 3 {
					tb.Begin(now, usual, up.Process())
					now += 8 * usual
					tb.End(now, up.Process(), steer.Result{Verdict: fanout.Served, Latency: 8 * usual, UsualLatency: usual})
				}
			}
			for i := range tc.lost {
				tb.RecordConnect(now, shards[i][0].Process(), false)
			}
			after, enough := tb.Coverage(now, usual, shards, tc.minParts)
			is.Equal(enough, tc.enough)
			is.Equal(enough && after < 2*usual, tc.inTime)
		})
	}
}
