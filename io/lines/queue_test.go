package lines_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"
	"go.uber.org/goleak"

	"laburnumvane/io/lines"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// sink is an output that can be stuck, as a pipe that nobody reads.
type sink struct {
	mu    sync.Mutex
	lines []string
	first chan struct{}
	once  sync.Once
	open  chan struct{}
}

func newSink() *sink {
	return &sink{first: make(chan struct{}), open: make(chan struct{})}
}

func (si *sink) WriteEntry(en *log.Entry) (int, error) {
	text := string(en.Value())
	si.once.Do(func() { close(si.first) })
	<-si.open
	si.mu.Lock()
	defer si.mu.Unlock()
	si.lines = append(si.lines, text)
	return len(text), nil
}

func (si *sink) messages(t *testing.T) []string {
	t.Helper()
	var out []string
	for _, line := range si.lines {
		var entry struct {
			Message string `json:"message"`
			Lost    int64  `json:"lost"`
		}
		is.New(t).NoErr(json.Unmarshal([]byte(line), &entry))
		if entry.Lost > 0 {
			entry.Message += fmt.Sprintf(" %d", entry.Lost)
		}
		out = append(out, entry.Message)
	}
	return out
}

// The output is stuck while a flood of lines comes, and then an error. Nobody
// who logs may wait; the error must be written, and first; and the operator must
// see how many lines are missing.
func TestFloodDoesNotLoseErrors(t *testing.T) {
	is := is.New(t)
	si := newSink()
	var lost atomic.Int64
	qu := lines.New(lines.Config{Writer: si, Lines: 3, Errors: 2, CloseTime: time.Minute, Lost: func(n int64) { lost.Add(n) }})
	lo := &log.Logger{Level: log.InfoLevel, Writer: qu}
	lo.Info().Msg("stuck")
	<-si.first
	for i := range 10 {
		lo.Info().Msg(fmt.Sprintf("line %d", i))
	}
	lo.Error().Msg("error")
	lo.Debug().Msg("below the level")
	close(si.open)
	qu.Close()
	is.Equal(si.messages(t), []string{"stuck", "error", "log lines lost 7", "line 0", "line 1", "line 2"})
	is.Equal(lost.Load(), int64(7))
	lo.Info().Msg("after the end")
	is.Equal(lost.Load(), int64(8))
}

// Many goroutines log at once; the library uses its buffers again. Every line
// must come out once and whole.
func TestLinesStayWhole(t *testing.T) {
	is := is.New(t)
	si := newSink()
	close(si.open)
	qu := lines.New(lines.Config{Writer: si, Lines: 10_000, CloseTime: time.Minute})
	lo := &log.Logger{Writer: qu}
	const goroutines, each = 8, 200
	var wg sync.WaitGroup
	for g := range goroutines {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range each {
				lo.Info().Str("fill", strings.Repeat("x", i)).Msg(fmt.Sprintf("%d-%d", g, i))
			}
		}()
	}
	wg.Wait()
	qu.Close()
	seen := map[string]bool{}
	for _, msg := range si.messages(t) {
		seen[msg] = true
	}
	is.Equal(len(seen), goroutines*each)
	is.Equal(len(si.lines), goroutines*each)
}

// The output stays stuck. The VM's stop must not wait for it.
func TestCloseGivesUp(*testing.T) {
	si := newSink()
	qu := lines.New(lines.Config{Writer: si, CloseTime: time.Millisecond})
	lo := &log.Logger{Writer: qu}
	lo.Info().Msg("stuck")
	<-si.first
	qu.Close()
	close(si.open)
}
