package logbuf_test

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

	"laburnumvane/io/logbuf"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// blockedWriter is an output that blocks until released is closed, like a pipe that is not being
// read.
type blockedWriter struct {
	mu       sync.Mutex
	lines    []string
	called   chan struct{}
	once     sync.Once
	released chan struct{}
}

func newBlockedWriter() *blockedWriter {
	return &blockedWriter{called: make(chan struct{}), released: make(chan struct{})}
}

func (bw *blockedWriter) WriteEntry(en *log.Entry) (int, error) {
	text := string(en.Value())
	bw.once.Do(func() { close(bw.called) })
	<-bw.released
	bw.mu.Lock()
	defer bw.mu.Unlock()
	bw.lines = append(bw.lines, text)
	return len(text), nil
}

func (bw *blockedWriter) messages(t *testing.T) []string {
	t.Helper()
	var out []string
	for _, line := range bw.lines {
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

// The output blocks while a flood of lines comes, followed by an error. Callers that log must
// not wait, the error must be written, before the other lines, and the log must say how many
// lines are missing.
func TestFloodDoesNotLoseErrors(t *testing.T) {
	is := is.New(t)
	bw := newBlockedWriter()
	var lost atomic.Int64
	qu := logbuf.New(logbuf.Config{Writer: bw, Lines: 3, Errors: 2, CloseTime: time.Minute, OnDrop: func(n int64) { lost.Add(n) }})
	lo := &log.Logger{Level: log.InfoLevel, Writer: qu}
	lo.Info().Msg("stuck")
	<-bw.called
	for i := range 10 {
		lo.Info().Msg(fmt.Sprintf("line %d", i))
	}
	lo.Error().Msg("error")
	lo.Debug().Msg("below the level")
	close(bw.released)
	qu.Close()
	is.Equal(bw.messages(t), []string{"stuck", "error", "log lines lost 7", "line 0", "line 1", "line 2"})
	is.Equal(lost.Load(), int64(7))
	lo.Info().Msg("after the end")
	is.Equal(lost.Load(), int64(8))
}

// Many goroutines log concurrently, and the log library reuses its buffers. Every line must be
// written once and unchanged.
func TestLinesStayWhole(t *testing.T) {
	is := is.New(t)
	bw := newBlockedWriter()
	close(bw.released)
	qu := logbuf.New(logbuf.Config{Writer: bw, Lines: 10_000, CloseTime: time.Minute})
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
	for _, msg := range bw.messages(t) {
		seen[msg] = true
	}
	is.Equal(len(seen), goroutines*each)
	is.Equal(len(bw.lines), goroutines*each)
}

// The output stays blocked. A VM that stops must not wait for it.
func TestCloseDoesNotWaitForOutput(*testing.T) {
	bw := newBlockedWriter()
	qu := logbuf.New(logbuf.Config{Writer: bw, CloseTime: time.Millisecond})
	lo := &log.Logger{Writer: qu}
	lo.Info().Msg("stuck")
	<-bw.called
	qu.Close()
	close(bw.released)
}
