package edge

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A VM is cut off from a data centre, and each opening of a connection there
// hangs for a second. Whoever wanted one more had to wait until one of the others
// gave up, with a server's lock in hand: requests to sound servers stood still, and
// no change came into force.
func TestHandingInNeverWaits(t *testing.T) {
	is := is.New(t)
	cr, err := newCrew(2)
	is.NoErr(err)
	defer cr.release()
	hang := make(chan struct{})
	var all sync.WaitGroup
	done := make(chan struct{})
	go func() {
		for range 100 {
			all.Add(1)
			cr.run(func() {
				defer all.Done()
				<-hang
			})
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("a task was not taken while others hang")
	}
	close(hang)
	all.Wait()
}

func TestCrewKeepsItsBoundAndOrder(t *testing.T) {
	is := is.New(t)
	cr, err := newCrew(1)
	is.NoErr(err)
	defer cr.release()
	var mu sync.Mutex
	var order []int
	var all sync.WaitGroup
	for i := range 50 {
		all.Add(1)
		cr.run(func() {
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
