package feed

import (
	"math/rand/v2"
	"time"

	"laburnumvane/core/rank"
)

// Times of a guide.
const (
	// passOver is how long a peer that did not answer is not asked again.
	passOver = 3 * time.Second
	// passOld is how long one with old news is not asked again.
	passOld = time.Second
	// passEmpty is the same for one that has no copy yet: it lives, and a boot
	// takes some tenths of a second.
	passEmpty = 300 * time.Millisecond
	// StaleAfter is the age of news above which another source is sought. The
	// one that watches hears the store once in a watch's wait, 1 s, and the
	// rest is for a slow answer.
	StaleAfter = 1800 * time.Millisecond
	// retryFirst and retryMost bound the wait before the store is asked again
	// after it failed; it doubles in between.
	retryFirst = 300 * time.Millisecond
	retryMost  = 1500 * time.Millisecond
	// rankDelay is how much longer a VM waits for each one that ranks before
	// it, before it asks the store in their place.
	rankDelay = 200 * time.Millisecond
	// UrgentAfter is the age of the own news above which, after a VM that did
	// not answer, no further one is asked first but the store: where several VMs
	// lost their power together, each of them costs a time-out, and a server that
	// leaves meanwhile must get nothing new after 3 s. VMs that answer with old
	// news are another matter: there it is the store that is away.
	UrgentAfter = 1500 * time.Millisecond
	// urgentPause is the wait from one such call to the next; it doubles while
	// they fail. Peers are asked in between, for the store may turn this VM away.
	urgentPause = 2 * time.Second
	// idleWait is how long to wait where nobody is left to ask.
	idleWait = 100 * time.Millisecond
	// jitter spreads retries, as a share.
	jitter = 0.5
)

// From says whom to ask next.
type From uint8

// Whom to ask.
const (
	// FromStore asks the platform's store.
	FromStore From = iota + 1
	// FromPeer asks another VM.
	FromPeer
	// FromNobody waits.
	FromNobody
)

// String is the name in logs.
func (fr From) String() string {
	switch fr {
	case FromStore:
		return "store"
	case FromPeer:
		return "peer"
	}
	return "nobody"
}

// Step is what to do next.
type Step struct {
	From From
	// Addr is the peer's inner address.
	Addr string
	// Wait is how long to wait for FromNobody, and for a seed's answer in a boot.
	Wait time.Duration
}

// Report is what came of a step.
type Report struct {
	// Failed is set if there was no answer, Empty if the peer has no copy yet.
	Failed, Empty bool
	// Age is how old a peer's news is.
	Age time.Duration
}

// GuideConfig sets a guide.
type GuideConfig struct {
	Self rank.VM
	Rand *rand.Rand
}

// Guide decides from whom one VM hears of changes. It is not safe for concurrent
// use.
type Guide struct {
	cfg GuideConfig
	// near are the VMs of the own data centre by rank, this one among them;
	// far those of others, the first of each data centre first; above the
	// first ones of the data centres that rank before the own one.
	near  []rank.VM
	far   []rank.VM
	above []rank.VM
	pass  map[string]time.Duration
	// lonely is since when nobody of a better rank has fresh news.
	lonely  time.Duration
	alone   bool
	retryAt time.Duration
	fails   int
	// urgentAt is when the store may be asked again for want of news.
	urgentAt time.Duration
	// mute is set if the VM asked last did not answer.
	mute bool
}

// watchSalt sets the order of those that watch the store apart from others.
const watchSalt = "watch"

// NewGuide makes a guide that knows no peers.
func NewGuide(cfg GuideConfig) *Guide {
	gu := &Guide{cfg: cfg, pass: make(map[string]time.Duration)}
	gu.SetPeers(nil)
	return gu
}

// SetPeers takes the other VMs.
func (gu *Guide) SetPeers(peers []rank.VM) {
	self := gu.cfg.Self
	byPlace := map[string][]rank.VM{self.DataCentre: {self}}
	for _, vm := range peers {
		if vm.Addr != self.Addr {
			byPlace[vm.DataCentre] = append(byPlace[vm.DataCentre], vm)
		}
	}
	gu.near = rank.Order(byPlace[self.DataCentre], watchSalt)
	gu.far, gu.above = nil, nil
	var rest []rank.VM
	passedOwn := false
	for _, place := range placeOrder(byPlace) {
		if place == self.DataCentre {
			passedOwn = true
			continue
		}
		vms := rank.Order(byPlace[place], watchSalt)
		if !passedOwn {
			gu.above = append(gu.above, vms[0])
		}
		gu.far = append(gu.far, vms[0])
		rest = append(rest, vms[1:]...)
	}
	gu.far = append(rank.Order(gu.far, self.Addr), rank.Order(rest, self.Addr)...)
}

// placeOrder ranks the data centres.
func placeOrder(byPlace map[string][]rank.VM) []string {
	vms := make([]rank.VM, 0, len(byPlace))
	for place := range byPlace {
		vms = append(vms, rank.VM{Addr: place})
	}
	names := make([]string, len(vms))
	for i, vm := range rank.Order(vms, watchSalt) {
		names[i] = vm.Addr
	}
	return names
}

// Next says whom to ask; age is that of this VM's own news.
func (gu *Guide) Next(now, age time.Duration) Step {
	before, first := gu.leader(now)
	if gu.mute && age > UrgentAfter && now >= gu.retryAt && now >= gu.urgentAt {
		gu.urgentAt = now + gu.spread(urgentPause<<min(gu.fails, 3))
		return Step{From: FromStore}
	}
	if first == "" && before == 0 {
		first = gu.leaderAbove(now)
	}
	if first != "" {
		gu.alone = false
		return Step{From: FromPeer, Addr: first}
	}
	if !gu.alone {
		gu.alone = true
		gu.lonely = now
	}
	if now >= gu.lonely+time.Duration(before)*rankDelay && now >= gu.retryAt {
		return Step{From: FromStore}
	}
	return gu.elsewhere(now)
}

// leaderAbove is the first VM of a data centre that ranks before the own one:
// with it only one VM of the region watches the store.
func (gu *Guide) leaderAbove(now time.Duration) string {
	for _, vm := range gu.above {
		if !gu.passed(now, vm.Addr) {
			return vm.Addr
		}
	}
	return ""
}

// leader is the first VM that ranks before this one and is not passed over, and
// how many rank before it.
func (gu *Guide) leader(now time.Duration) (before int, addr string) {
	for _, vm := range gu.near {
		if vm.Addr == gu.cfg.Self.Addr {
			return before, ""
		}
		if !gu.passed(now, vm.Addr) {
			return before, vm.Addr
		}
		before++
	}
	return before, ""
}

// elsewhere asks another data centre, or a VM of the own one that ranks behind.
func (gu *Guide) elsewhere(now time.Duration) Step {
	for _, vms := range [2][]rank.VM{gu.far, gu.near} {
		for _, vm := range vms {
			if vm.Addr != gu.cfg.Self.Addr && !gu.passed(now, vm.Addr) {
				return Step{From: FromPeer, Addr: vm.Addr}
			}
		}
	}
	return Step{From: FromNobody, Wait: idleWait}
}

func (gu *Guide) passed(now time.Duration, addr string) bool {
	until, ok := gu.pass[addr]
	if !ok {
		return false
	}
	if now >= until {
		delete(gu.pass, addr)
		return false
	}
	return true
}

// Heard takes in what came of a step.
func (gu *Guide) Heard(now time.Duration, st Step, rp Report) {
	if st.From == FromPeer {
		gu.mute = rp.Failed
	}
	switch {
	case st.From == FromStore && rp.Failed:
		wait := min(retryFirst<<min(gu.fails, 8), retryMost)
		gu.fails++
		gu.retryAt = now + gu.spread(wait)
	case st.From == FromStore:
		gu.fails = 0
		gu.retryAt = 0
	case st.From == FromPeer && rp.Failed:
		gu.pass[st.Addr] = now + gu.spread(passOver)
	case st.From == FromPeer && rp.Empty:
		gu.pass[st.Addr] = now + gu.spread(passEmpty)
	case st.From == FromPeer && rp.Age > StaleAfter:
		gu.pass[st.Addr] = now + gu.spread(passOld)
	}
}

func (gu *Guide) spread(wait time.Duration) time.Duration {
	return time.Duration(float64(wait) * (1 + jitter*gu.cfg.Rand.Float64()))
}
