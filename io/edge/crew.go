package edge

import (
	"sync"

	"github.com/panjf2000/ants/v2"
)

// crew runs tasks on a bounded number of goroutines. What is beyond waits for one
// of them; whoever hands a task in never does. Those who open connections hold
// locks, and the control goroutine is among them: when it waited, a VM cut off
// from a third of its servers heard of no change for seconds.
type crew struct {
	pool *ants.Pool

	mu      sync.Mutex
	running int
	// waiting is bounded by the connections that the plan allows.
	waiting []func()
}

// newCrew makes a crew of at most size goroutines.
func newCrew(size int) (*crew, error) {
	pool, err := ants.NewPool(size, ants.WithNonblocking(true))
	if err != nil {
		return nil, err
	}
	return &crew{pool: pool}, nil
}

// run has a task run soon, those handed in first before others.
func (cr *crew) run(task func()) {
	cr.mu.Lock()
	if cr.running >= cr.pool.Cap() {
		cr.waiting = append(cr.waiting, task)
		cr.mu.Unlock()
		return
	}
	cr.running++
	cr.mu.Unlock()
	// The pool refuses where it is closed, or a goroutine is on its way back to
	// it: then one of its own does the work.
	if err := cr.pool.Submit(func() { cr.work(task) }); err != nil {
		go cr.work(task)
	}
}

// work runs a task and then those that wait.
func (cr *crew) work(task func()) {
	for ; task != nil; task = cr.next() {
		task()
	}
}

func (cr *crew) next() func() {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	if len(cr.waiting) == 0 {
		cr.running--
		return nil
	}
	task := cr.waiting[0]
	cr.waiting = cr.waiting[1:]
	return task
}

// release ends the goroutines once their tasks are done.
func (cr *crew) release() { cr.pool.Release() }
