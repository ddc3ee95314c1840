package valve_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/valve"
)

const (
	shards = 10
	// minParts is the number of shards that an answer needs.
	minParts = 9
	seed     = 7
)

// simulate sends requests to shards that can each take a share of them, through a valve if there
// is one, and counts the answers.
func simulate(requests int, capacity float64, va *valve.Valve) (answered, refused int) {
	rnd := rand.New(rand.NewPCG(seed, seed))
	// Tokens count how many more requests each shard can take: capacity that is not used remains
	// for the next request.
	tokens := make([]float64, shards)
	for range requests {
		for i := range tokens {
			tokens[i] = min(tokens[i]+capacity, 1+capacity)
		}
		if va != nil && !va.Admit(0, rnd.Float64()) {
			refused++
			continue
		}
		parts := 0
		for i := range tokens {
			// It is random which requests a shard has capacity for.
			if tokens[i] >= 1 || tokens[i] > rnd.Float64() && tokens[i] >= 0.5 {
				tokens[i]--
				parts++
			}
		}
		if parts >= minParts {
			answered++
		}
		if va != nil {
			va.Record(parts < minParts)
		}
	}
	return answered, refused
}

// Each of ten shards has capacity for four of five requests, and an answer needs nine of them.
// Which request a shard refuses is random, so without shedding most requests miss two shards and
// fail although the servers worked on them. With the valve some are refused at once, and most of
// the others are answered.
func TestSheddingAnswersMoreRequests(t *testing.T) {
	is := is.New(t)
	const requests = 4000
	without, _ := simulate(requests, 0.8, nil)
	with, refused := simulate(requests, 0.8, valve.New(valve.Config{}))
	t.Logf("answered without a valve: %d, with a valve: %d, refused %d of %d", without, with, refused, requests)
	is.True(with*10 > without*12)
	is.True(refused > 0)
}

// No request is refused while there is capacity for all.
func TestAdmitsAllWithCapacity(t *testing.T) {
	is := is.New(t)
	answered, refused := simulate(2000, 1.2, valve.New(valve.Config{}))
	is.Equal(answered, 2000)
	is.Equal(refused, 0)
}

// No request finds capacity for a while. The valve must still admit a share, to detect when there
// is capacity again and so that no kind is starved, and admit all within seconds after that.
func TestMinShareAndRecovery(t *testing.T) {
	is := is.New(t)
	va := valve.New(valve.Config{})
	for range 1000 {
		va.Record(true)
	}
	is.Equal(va.Share(), valve.DefaultMinShare)
	is.True(va.Admit(1, valve.DefaultMinShare-0.01))
	is.True(!va.Admit(1, valve.DefaultMinShare+0.01))
	for range 100 {
		va.Record(false)
	}
	is.Equal(va.Share(), 1.0)
}

// Less urgent requests are refused first.
func TestLessUrgentIsRefusedFirst(t *testing.T) {
	is := is.New(t)
	va := valve.New(valve.Config{})
	for range 10 {
		va.Record(true)
	}
	between := va.Share() - 0.05
	is.True(va.Admit(0, between))
	is.True(!va.Admit(1, between))
}

// The valve is at its minimum share when a shortage ends. Requests are refused until the share
// has recovered, so it has to recover within a few admitted requests.
func TestRecoversSoonAfterShortage(t *testing.T) {
	is := is.New(t)
	va := valve.New(valve.Config{})
	for range 100 {
		va.Record(true)
	}
	const admitted = 25
	for range admitted {
		va.Record(false)
	}
	is.Equal(va.Share(), 1.0)
}

// After a shortage, the valve went on refusing until enough requests had found capacity: about
// twenty, which takes two seconds at ten requests per second.
func TestReopensByTime(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(seed, seed))
	va := valve.New(valve.Config{})
	end := 10 * time.Second
	for now := end - 5*time.Second; now <= end; now += 100 * ms {
		va.RecordShort(now, now)
	}
	is.Equal(va.Share(), valve.DefaultMinShare)
	// Requests that were sent during the shortage still end late.
	for now := end + 50*ms; now < end+time.Second; now += 100 * ms {
		va.RecordShort(now, end)
	}
	for now := end + 500*ms; now < end+5*time.Second; now += 100 * ms {
		va.Advance(now)
		is.True(va.Admit(1, rnd.Float64()))
	}
}

// At ten requests per second, half a second without a lack of capacity also occurs by chance during
// a shortage. The next lack of capacity then has to restore the reduced share, or the valve would
// never close.
func TestClosesAgainAfterPause(t *testing.T) {
	is := is.New(t)
	va := valve.New(valve.Config{})
	for range 100 {
		va.RecordShort(10*time.Second, 10*time.Second)
	}
	va.Advance(10600 * ms)
	is.Equal(va.Share(), 1.0)
	va.RecordShort(10600*ms, 10600*ms)
	is.Equal(va.Share(), valve.DefaultMinShare)
	va.Advance(13 * time.Second)
	va.RecordShort(13*time.Second, 13*time.Second)
	is.True(va.Share() > 0.9) // the shortage before is forgotten
}

// Less than half a second after a lack of capacity, the share must not jump: all VMs would send
// everything at the same moment.
func TestReopensGradually(t *testing.T) {
	is := is.New(t)
	va := valve.New(valve.Config{})
	for range 100 {
		va.RecordShort(10*time.Second, 10*time.Second)
	}
	last := va.Share()
	for now := 10 * time.Second; now <= 10500*ms; now += 10 * ms {
		va.Advance(now)
		is.True(va.Share() >= last && va.Share() < last+0.05)
		last = va.Share()
	}
	is.Equal(last, 1.0)
}
