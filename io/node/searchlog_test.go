package node

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"laburnumvane/io/meter"
	"laburnumvane/io/setup"
	"laburnumvane/io/wire"
)

// entryRecorder is a log writer that records the entries.
type entryRecorder struct {
	lines []map[string]any
}

func (ke *entryRecorder) WriteEntry(en *log.Entry) (int, error) {
	var line map[string]any
	err := json.Unmarshal(en.Value(), &line)
	ke.lines = append(ke.lines, line)
	return 0, err
}

// Operators look up failed searches in the log. Each search that is not complete must have a line
// with the caller's id; of the complete searches, which are most of them, only a sample is logged.
// The level can be raised while the VM runs.
func TestSearchLog(t *testing.T) {
	complete := wire.SearchAnswer{ID: "c", Outcome: wire.OutcomeComplete}
	partial := wire.SearchAnswer{
		ID: "p", Outcome: wire.OutcomePartial, Reason: "deadline", Snapshot: 7,
		Coverage: wire.Coverage{Shards: 4, Answered: 3}, Work: wire.Work{Primaries: 4, Hedges: 1},
	}
	cases := []struct {
		name    string
		sample  int
		level   string
		answers []wire.SearchAnswer
		ids     []string
		logged  int64
		left    int64
	}{
		{"one in three", 3, "info", []wire.SearchAnswer{complete, complete, complete, complete}, []string{"c"}, 1, 3},
		{"none", 0, "info", []wire.SearchAnswer{complete, complete}, nil, 0, 2},
		{"all", 1, "info", []wire.SearchAnswer{complete, complete}, []string{"c", "c"}, 2, 0},
		{"not complete", 0, "info", []wire.SearchAnswer{partial, complete, partial}, []string{"p", "p"}, 2, 1},
		{"at warn, not complete ones only", 1, "warn", []wire.SearchAnswer{partial, complete}, []string{"p"}, 1, 0},
		{"at error, none", 1, "error", []wire.SearchAnswer{partial, complete}, nil, 0, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ke := &entryRecorder{}
			nd := &Node{set: setup.Settings{LogSample: tc.sample}, meter: meter.New()}
			nd.initLog(&log.Logger{Level: log.InfoLevel, TimeFormat: time.RFC3339Nano, Writer: ke})
			is.NoErr(nd.SetLogLevel(tc.level))
			for _, an := range tc.answers {
				nd.logSearch(wire.SearchRequest{Team: "wash", Search: "kiosk"}, an)
			}
			nd.logQueue.Close()
			var ids []string
			for _, line := range ke.lines {
				ids = append(ids, line["id"].(string))
				is.Equal(line["team"], "wash")
			}
			is.Equal(ids, tc.ids)
			is.Equal(nd.meter.Value(meter.Logged, "searches"), tc.logged)
			is.Equal(nd.meter.Value(meter.Logged, "sampledOut"), tc.left)
		})
	}
	is := is.New(t)
	ke := &entryRecorder{}
	nd := &Node{meter: meter.New()}
	nd.initLog(&log.Logger{Writer: ke})
	nd.logSearch(wire.SearchRequest{Team: "wash", Search: "history"}, partial)
	nd.logQueue.Close()
	line := ke.lines[0]
	for key, want := range map[string]any{
		"level": "warn", "outcome": "partial", "reason": "deadline", "snapshot": 7.0,
		"shards": 4.0, "answered": 3.0, "primaries": 4.0, "hedges": 1.0, "message": "search",
	} {
		is.Equal(line[key], want)
	}
	is.Equal(nd.meter.Value(meter.Incomplete, "deadline"), int64(1))
}

func TestSetLogLevel(t *testing.T) {
	is := is.New(t)
	nd := &Node{meter: meter.New()}
	given := &log.Logger{Level: log.InfoLevel, Writer: &entryRecorder{}}
	nd.initLog(given)
	defer nd.logQueue.Close()
	is.NoErr(nd.SetLogLevel("debug"))
	is.Equal(nd.log.Level, log.DebugLevel)
	is.Equal(given.Level, log.InfoLevel) // other VMs in the process keep their level
	is.True(nd.SetLogLevel("loud") != nil)
	is.True(nd.SetLogLevel("") != nil)
}
