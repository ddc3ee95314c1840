package edge

import (
	"sync"

	"github.com/panjf2000/ants/v2"
)

// workerPool runs tasks on a bounded number of goroutines. Further tasks are queued; submit
// never blocks. Callers that open connections hold locks, and the control goroutine is one of
// them: when submitting blocked, a VM that was cut off from a third of its servers applied no
// changes for seconds.
type workerPool struct {
	pool *ants.Pool

	mu      sync.Mutex
	running int
	// queued is bounded by the connections that the plan allows.
	queued []func()
}

// newWorkerPool creates a pool with at most size goroutines.
func newWorkerPool(size int) (*workerPool, error) {
	pool, err := ants.NewPool(size, ants.WithNonblocking(true))
	if err != nil {
		return nil, err
	}
	return &workerPool{pool: pool}, nil
}

// submit runs a task on the pool or queues it; queued tasks start in the order of submission.
func (wp *workerPool) submit(task func()) {
	wp.mu.Lock()
	if wp.running >= wp.pool.Cap() {
		wp.queued = append(wp.queued, task)
		wp.mu.Unlock()
		return
	}
	wp.running++
	wp.mu.Unlock()
	// The ants pool refuses a task if it is closed, or if a goroutine is just being returned to
	// it. The task then gets a goroutine of its own.
	if err := wp.pool.Submit(func() { wp.work(task) }); err != nil {
		go wp.work(task)
	}
}

// work runs a task and then queued ones.
func (wp *workerPool) work(task func()) {
	for ; task != nil; task = wp.next() {
		task()
	}
}

func (wp *workerPool) next() func() {
	wp.mu.Lock()
	defer wp.mu.Unlock()
	if len(wp.queued) == 0 {
		wp.running--
		return nil
	}
	task := wp.queued[0]
	wp.queued = wp.queued[1:]
	return task
}

// release ends the goroutines after their tasks.
func (wp *workerPool) release() { wp.pool.Release() }
