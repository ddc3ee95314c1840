package lines

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

// Config sets a queue. All but Writer have defaults.
type Config struct {
	// Writer is where lines go in the end.
	Writer log.Writer
	// Lines and Errors bound the lines that wait.
	Lines  int
	Errors int
	// CloseTime bounds how long Close waits for the output.
	CloseTime time.Duration
	// Lost is told how many lines were dropped; it may be nil.
	Lost func(n int64)
}

// Queue is a log.Writer that never blocks.
type Queue struct {
	cfg  Config
	wake chan struct{}
	done chan struct{}

	mu     sync.Mutex
	errors [][]byte
	others [][]byte
	lost   int64
	closed bool
}

// New makes a queue and starts its goroutine; Close ends it.
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
	if cfg.Lost == nil {
		cfg.Lost = func(int64) {}
	}
	qu := &Queue{cfg: cfg, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go qu.write()
	return qu
}

// WriteEntry queues a copy of a line: the library uses the entry again.
func (qu *Queue) WriteEntry(en *log.Entry) (int, error) {
	line := append([]byte(nil), en.Value()...)
	qu.mu.Lock()
	kept := qu.put(en.Level, line)
	qu.mu.Unlock()
	if !kept {
		qu.cfg.Lost(1)
	}
	qu.rouse()
	return len(line), nil
}

func (qu *Queue) put(level log.Level, line []byte) bool {
	switch {
	case qu.closed:
		return false
	case level >= log.ErrorLevel && len(qu.errors) < qu.cfg.Errors:
		qu.errors = append(qu.errors, line)
	case level < log.ErrorLevel && len(qu.others) < qu.cfg.Lines:
		qu.others = append(qu.others, line)
	default:
		qu.lost++
		return false
	}
	return true
}

func (qu *Queue) rouse() {
	select {
	case qu.wake <- struct{}{}:
	default:
	}
}

// write runs until the queue is closed and empty.
func (qu *Queue) write() {
	defer close(qu.done)
	for range qu.wake {
		for {
			batch, lost, closed := qu.take()
			if len(batch) == 0 && lost == 0 {
				if closed {
					return
				}
				break
			}
			qu.emit(batch, lost)
		}
	}
}

// take empties the queues of errors first. Other lines are taken a few at a
// time, so that an error does not wait for all of them.
func (qu *Queue) take() (batch [][]byte, lost int64, closed bool) {
	const few = 64
	qu.mu.Lock()
	defer qu.mu.Unlock()
	lost, qu.lost = qu.lost, 0
	if len(qu.errors) > 0 {
		batch, qu.errors = qu.errors, nil
		return batch, lost, qu.closed
	}
	n := min(few, len(qu.others))
	batch, qu.others = qu.others[:n:n], qu.others[n:]
	if len(qu.others) == 0 {
		qu.others = nil
	}
	return batch, lost, qu.closed
}

func (qu *Queue) emit(batch [][]byte, lost int64) {
	for _, line := range batch {
		// A log that cannot be written has nowhere to say so.
		_, _ = qu.cfg.Writer.WriteEntry(log.NewContext(line))
	}
	if lost > 0 {
		lo := log.Logger{TimeFormat: time.RFC3339Nano, Writer: qu.cfg.Writer}
		lo.Warn().Int64("lost", lost).Msg("log lines lost")
	}
}

// Close writes what is queued, within CloseTime; lines that come later are
// dropped and counted.
func (qu *Queue) Close() {
	qu.mu.Lock()
	qu.closed = true
	qu.mu.Unlock()
	qu.rouse()
	tm := time.NewTimer(qu.cfg.CloseTime)
	defer tm.Stop()
	select {
	case <-qu.done:
	case <-tm.C:
	}
}
