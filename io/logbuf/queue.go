package logbuf

import (
	"sync"
	"time"

	"github.com/phuslu/log"
)

// Defaults of a Config.
const (
	DefaultLines     = 8192
	DefaultErrors    = 1024
	DefaultCloseTime = time.Second
)

// Config configures a Queue. All fields but Writer have defaults.
type Config struct {
	// Writer is the output to which lines are written.
	Writer log.Writer
	// Lines and Errors limit the number of queued lines.
	Lines  int
	Errors int
	// CloseTime limits how long Close waits for the output.
	CloseTime time.Duration
	// OnDrop, if not nil, is called with the number of lines that were dropped.
	OnDrop func(n int64)
}

// Queue is a log.Writer that never blocks.
type Queue struct {
	cfg  Config
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	errors  [][]byte
	others  [][]byte
	dropped int64
	closed  bool
}

// New returns a queue and starts its goroutine, which Close ends.
func New(cfg Config) *Queue {
	if cfg.Lines <= 0 {
		cfg.Lines = DefaultLines
	}
	if cfg.Errors <= 0 {
		cfg.Errors = DefaultErrors
	}
	if cfg.CloseTime <= 0 {
		cfg.CloseTime = DefaultCloseTime
	}
	if cfg.OnDrop == nil {
		cfg.OnDrop = func(int64) {}
	}
	qu := &Queue{cfg: cfg, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go qu.write()
	return qu
}

// WriteEntry queues a copy of the line, because the log library reuses the entry. It never
// blocks and returns no error.
func (qu *Queue) WriteEntry(en *log.Entry) (int, error) {
	line := append([]byte(nil), en.Value()...)
	qu.mu.Lock()
	kept := qu.enqueue(en.Level, line)
	qu.mu.Unlock()
	if !kept {
		qu.cfg.OnDrop(1)
	}
	qu.signal()
	return len(line), nil
}

func (qu *Queue) enqueue(level log.Level, line []byte) bool {
	switch {
	case qu.closed:
		return false
	case level >= log.ErrorLevel && len(qu.errors) < qu.cfg.Errors:
		qu.errors = append(qu.errors, line)
	case level < log.ErrorLevel && len(qu.others) < qu.cfg.Lines:
		qu.others = append(qu.others, line)
	default:
		qu.dropped++
		return false
	}
	return true
}

func (qu *Queue) signal() {
	select {
	case qu.wake <- struct{}{}:
	default:
	}
}

// write writes queued lines until the queue is closed and empty.
func (qu *Queue) write() {
	defer close(qu.done)
	for range qu.wake {
		for {
			batch, lost, closed := qu.nextBatch()
			if len(batch) == 0 && lost == 0 {
				if closed {
					return
				}
				break
			}
			qu.writeBatch(batch, lost)
		}
	}
}

// nextBatch returns the next lines to write. It returns all errors first. Other lines are
// returned a few at a time, so that an error does not have to wait for all of them.
func (qu *Queue) nextBatch() (batch [][]byte, lost int64, closed bool) {
	const maxBatch = 64
	qu.mu.Lock()
	defer qu.mu.Unlock()
	lost, qu.dropped = qu.dropped, 0
	if len(qu.errors) > 0 {
		batch, qu.errors = qu.errors, nil
		return batch, lost, qu.closed
	}
	n := min(maxBatch, len(qu.others))
	batch, qu.others = qu.others[:n:n], qu.others[n:]
	if len(qu.others) == 0 {
		qu.others = nil
	}
	return batch, lost, qu.closed
}

func (qu *Queue) writeBatch(batch [][]byte, lost int64) {
	for _, line := range batch {
		// If the log cannot be written, there is nowhere to report it.
		_, _ = qu.cfg.Writer.WriteEntry(log.NewContext(line))
	}
	if lost > 0 {
		lo := log.Logger{TimeFormat: time.RFC3339Nano, Writer: qu.cfg.Writer}
		lo.Warn().Int64("lost", lost).Msg("log lines lost")
	}
}

// Close writes the queued lines, within CloseTime. Lines that are logged later are dropped and
// counted.
func (qu *Queue) Close() {
	qu.mu.Lock()
	qu.closed = true
	qu.mu.Unlock()
	qu.signal()
	tm := time.NewTimer(qu.cfg.CloseTime)
	defer tm.Stop()
	select {
	case <-qu.done:
	case <-tm.C:
	}
}
