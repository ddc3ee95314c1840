package edge

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A VM is cut off from a data centre, and each attempt to open a connection there hangs for a
// second. If submitting a task waited for one of these attempts, the caller would hold a
// server's lock meanwhile: requests to healthy servers would stall, and no change would be
// applied.
func TestSubmitNeverBlocks(t *testing.T) {
	is := is.New(t)
	wp, err := newWorkerPool(2)
	is.NoErr(err)
	defer wp.release()
	release := make(chan struct{})
	var all sync.WaitGroup
	done := make(chan struct{})
	go func() {
		for range 100 {
			all.Add(1)
			wp.submit(func() {
				defer all.Done()
				<-release
			})
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("submit blocked while other tasks hang")
	}
	close(release)
	all.Wait()
}

func TestWorkerPoolKeepsLimitAndOrder(t *testing.T) {
	is := is.New(t)
	wp, err := newWorkerPool(1)
	is.NoErr(err)
	defer wp.release()
	var mu sync.Mutex
	var order []int
	var all sync.WaitGroup
	for i := range 50 {
		all.Add(1)
		wp.submit(func() {
			defer all.Done()
			mu.Lock()
			defer mu.Unlock()
			order = append(order, i)
		})
	}
	all.Wait()
	is.Equal(len(order), 50)
	for i, got := range order {
		is.Equal(got, i)
	}
}
