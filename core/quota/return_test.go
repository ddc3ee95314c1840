package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/core/acct"
	"laburnumvane/core/quota"
)

// Requests that are refused by servers after some time are followed by others with their tokens, while
// the bucket is refilled. If the number of tokens grew, all would be used in one window as soon as the
// servers run requests again.
func TestReturnedTokensDoNotAddUp(t *testing.T) {
	for _, flight := range []time.Duration{0, 50 * ms, 200 * ms, second} {
		t.Run(fmt.Sprint(flight), func(t *testing.T) {
			is := is.New(t)
			li := quota.New(quota.Config{})
			ac, ho := &acct.Account{Name: "a", Rate: 55, Burst: 55}, alone()
			flying, ran := map[time.Duration]int{}, 0
			for now := time.Duration(0); now < 35*second; now += 10 * ms {
				for range flying[now] {
					li.Return(now, "a")
				}
				granted := drain(li, now, ac, ho)
				if now < 30*second {
					flying[now+max(flight, 10*ms)] = granted
				} else {
					ran += granted
				}
			}
			t.Log(ran)
			is.True(ran <= 383) // (55 x 5 + 55) x 1.1 + 20
			is.True(ran >= 275) // 55 x 5
		})
	}
}

// The load, the time that servers take and the share of requests that they refuse change at random. No
// window may have more requests that ran than the limit allows.
func TestReturnedTokensKeepLimit(t *testing.T) {
	for seed := range 4 * *seeds {
		is := is.New(t)
		rnd := rand.New(rand.NewPCG(uint64(seed), 1))
		li := quota.New(quota.Config{})
		ac, ho := &acct.Account{Name: "a", Rate: 55, Burst: 55}, alone()
		type ending struct{ ran bool }
		const step, window = 10 * ms, 5 * second
		endings := map[time.Duration][]ending{}
		var ran []int
		var flight time.Duration
		var load, refused float64
		for now := time.Duration(0); now < 120*second; now += step {
			if now%second == 0 && rnd.IntN(2) == 0 {
				flight = step * time.Duration(1+rnd.IntN([]int{5, 50, 300}[rnd.IntN(3)]))
				load = []float64{0, 20, 55, 200, 2000}[rnd.IntN(5)]
				refused = []float64{0, 0, 0.5, 1}[rnd.IntN(4)]
			}
			for _, en := range endings[now] {
				if en.ran {
					li.Done("a")
				} else {
					li.Return(now, "a")
				}
			}
			n := 0
			for range int(load*step.Seconds() + rnd.Float64()) {
				if take(li, now, ac, ho).Kind != quota.Granted {
					continue
				}
				en := ending{ran: rnd.Float64() >= refused}
				endings[now+flight] = append(endings[now+flight], en)
				if en.ran {
					n++
				}
			}
			ran = append(ran, n)
		}
		sum, most := 0, 0
		for i, n := range ran {
			sum += n
			if i >= int(window/step) {
				sum -= ran[i-int(window/step)]
			}
			most = max(most, sum)
		}
		t.Log(seed, most)
		is.True(most <= 383) // (55 x 5 + 55) x 1.1 + 20
	}
}
