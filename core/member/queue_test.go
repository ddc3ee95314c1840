package member_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"laburnumvane/core/member"
)

// gossip simulates VMs that disseminate one item, with one message per VM and round, and counts the
// VMs that have it. A share of the messages is lost.
type gossip struct {
	random *rand.Rand
	lost   float64
	queues []*member.Queue[string, int]
	have   []bool
}

func newGossip(vms int, lost float64, seed uint64) *gossip {
	gs := &gossip{
		random: rand.New(rand.NewPCG(seed, seed)),
		lost:   lost,
		queues: make([]*member.Queue[string, int], vms),
		have:   make([]bool, vms),
	}
	for i := range gs.queues {
		gs.queues[i] = member.NewQueue[string, int](1)
	}
	gs.deliver(0)
	return gs
}

func (gs *gossip) deliver(vm int) {
	if !gs.have[vm] {
		gs.have[vm] = true
		gs.queues[vm].Put("server", 1)
	}
}

// round lets each VM send one message. With confirmed, items are counted as sent only once the
// message has arrived.
func (gs *gossip) round(confirmed bool) {
	limit := member.Retransmits(len(gs.queues))
	for from, qu := range gs.queues {
		to := (from + 1 + gs.random.IntN(len(gs.queues)-1)) % len(gs.queues)
		included := qu.Len() > 0
		arrives := gs.random.Float64() >= gs.lost
		if !confirmed || arrives {
			qu.MarkSent(limit, func(int) bool { return true })
		}
		if included && arrives {
			gs.deliver(to)
		}
	}
}

func (gs *gossip) holders() int {
	n := 0
	for _, ok := range gs.have {
		if ok {
			n++
		}
	}
	return n
}

// When VMs are short of processor time and nine of ten beats time out, an update counted at sending
// is used up on beats that nobody reads: some VMs then never learn that a server leaves, and keep
// sending it work. Counting when a beat is answered avoids this.
func TestUpdateSurvivesMessageLoss(t *testing.T) {
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
				gs := newGossip(vms, tt.lost, seed)
				for range rounds {
					gs.round(tt.confirmed)
				}
				all = all && gs.holders() == vms
			}
			is.Equal(all, tt.all)
		})
	}
}
