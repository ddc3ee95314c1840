package member_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/core/member"
)

// rumour plays nine VMs that pass one item on, a message each in every round,
// and counts those that have it in the end. A share of the messages times out.
type rumour struct {
	random *rand.Rand
	lost   float64
	queues []*member.Queue[string, int]
	have   []bool
}

func newRumour(vms int, lost float64, seed uint64) *rumour {
	ru := &rumour{
		random: rand.New(rand.NewPCG(seed, seed)),
		lost:   lost,
		queues: make([]*member.Queue[string, int], vms),
		have:   make([]bool, vms),
	}
	for i := range ru.queues {
		ru.queues[i] = member.NewQueue[string, int](1)
	}
	ru.hear(0)
	return ru
}

func (ru *rumour) hear(vm int) {
	if !ru.have[vm] {
		ru.have[vm] = true
		ru.queues[vm].Put("server", 1)
	}
}

// round lets each VM send one message. With confirmed, items count once the
// message has arrived, else when it is sent.
func (ru *rumour) round(confirmed bool) {
	limit := member.Retransmits(len(ru.queues))
	for from, qu := range ru.queues {
		to := (from + 1 + ru.random.IntN(len(ru.queues)-1)) % len(ru.queues)
		rides := qu.Len() > 0
		arrives := ru.random.Float64() >= ru.lost
		if !confirmed || arrives {
			qu.Sent(limit, func(int) bool { return true })
		}
		if rides && arrives {
			ru.hear(to)
		}
	}
}

func (ru *rumour) heard() int {
	n := 0
	for _, ok := range ru.have {
		if ok {
			n++
		}
	}
	return n
}

// A server leaves, and some VMs go on sending it work for good. The VMs are short
// of processor time, nine of ten beats time out, and the sign was used up on beats
// that nobody read. Counted when a beat is answered, it outlives any such time.
func TestRumourOutlivesLostMessages(t *testing.T) {
	const vms, rounds, seeds = 9, 2_000, 50
	tests := []struct {
		name      string
		confirmed bool
		lost      float64
		all       bool
	}{
		{"counted when sent, messages arrive", false, 0.05, true},
		{"counted when sent, nine of ten are lost", false, 0.9, false},
		{"counted when answered, messages arrive", true, 0.05, true},
		{"counted when answered, nine of ten are lost", true, 0.9, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			all := true
			for seed := range uint64(seeds) {
				ru := newRumour(vms, tt.lost, seed)
				for range rounds {
					ru.round(tt.confirmed)
				}
				all = all && ru.heard() == vms
			}
			is.Equal(all, tt.all)
		})
	}
}
