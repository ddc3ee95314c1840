package feed

import (
	"math/rand/v2"
	"slices"
	"time"

	"laburnumvane/core/rank"
	"laburnumvane/core/retry"
)

// Times of a guide.
const (
	// passMute is how long a peer that did not answer is not asked again.
	passMute = 3 * time.Second
	// passOld is how long one with old news is not asked again, passFirst the same for
	// the first VM of a data centre: most news comes through these.
	passOld   = time.Second
	passFirst = 400 * time.Millisecond
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
	// retryRanks bounds how many times longer that wait is for a VM before which
	// others rank: what all VMs of a data centre ask together grows with the logarithm
	// of their number.
	retryRanks = 40
	// rankDelay is how much longer a VM waits for each one that ranks before it, before
	// it asks the store in their place. For those beyond the first rankFew it is
	// rankLate: a store that has turned away so many is most likely away for all.
	rankDelay = 200 * time.Millisecond
	rankLate  = time.Second
	rankFew   = 4
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
	// FromList asks the platform's store which VMs there are, and for nothing else.
	FromList
)

// String is the name in logs.
func (fr From) String() string {
	switch fr {
	case FromStore:
		return "store"
	case FromPeer:
		return "peer"
	case FromList:
		return "list"
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
	// Failed is set if there was no answer, Refused if the peer's machine refused the
	// connection: its process is not there, or not yet. Empty is set if the peer has no
	// copy yet, or gives none now.
	Failed, Refused, Empty bool
	// Age is how old a peer's news is.
	Age time.Duration
	// Own is set if this VM heard the store for it, Follows if the peer follows this VM.
	Own, Follows bool
	// Others are VMs that a peer without a copy to give names.
	Others []string
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
	near []rank.VM
	// before is how many of them rank before this one.
	before int
	far    []rank.VM
	above  []rank.VM
	// firsts are the first VMs of all data centres, by address.
	firsts map[string]bool
	pass   map[string]time.Duration
	// lacking is set while nobody of a better rank had fresh news when asked last,
	// lackSince is since when.
	lacking   bool
	lackSince time.Duration
	retryAt   time.Duration
	fails     int
	// urgentAt is when the store may be asked again for want of news.
	urgentAt time.Duration
	// mute is set if the VM asked last did not answer.
	mute bool
	// hint is a VM that had news when it asked this one; empty if none had.
	hint string
	// nearAt and farAt are when a VM of this data centre, and of another one, may be
	// asked for news in a search, and old how many had old news in a row.
	nearAt, farAt time.Duration
	old           int
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
	gu.before = slices.IndexFunc(gu.near, func(vm rank.VM) bool { return vm.Addr == self.Addr })
	gu.far, gu.above = nil, nil
	gu.firsts = map[string]bool{gu.near[0].Addr: true}
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
		gu.firsts[vms[0].Addr] = true
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
	if gu.urgent(now, age) {
		return Step{From: FromStore}
	}
	if hint := gu.takeHint(); hint != "" && age > StaleAfter {
		return Step{From: FromPeer, Addr: hint}
	}
	first := gu.leader(now)
	if first == "" {
		gu.lack(now)
	}
	switch {
	case gu.due(now, first):
		return Step{From: FromStore}
	case first == "":
		return gu.elsewhere(now)
	case now < gu.nearAt:
		return Step{From: FromNobody, Wait: min(gu.nearAt-now, idleWait)}
	}
	return Step{From: FromPeer, Addr: first}
}

// urgent tells whether the store is asked before any other VM, see UrgentAfter.
func (gu *Guide) urgent(now, age time.Duration) bool {
	if !gu.mute || age <= UrgentAfter || now < gu.retryAt || now < gu.urgentAt {
		return false
	}
	gu.urgentAt = now + gu.spread(urgentPause<<min(gu.fails, 3))
	return true
}

// due tells whether it is this VM's turn to ask the store. The first VM of a data centre
// leaves it to those of the data centres that rank before, while one of them answers.
func (gu *Guide) due(now time.Duration, first string) bool {
	if !gu.lacking || now < gu.lackSince+gu.turn() || now < gu.retryAt {
		return false
	}
	return first == "" || gu.before > 0
}

// turn is how long this VM waits for those that rank before it.
func (gu *Guide) turn() time.Duration {
	late := max(0, gu.before-rankFew)
	return time.Duration(gu.before-late)*rankDelay + time.Duration(late)*rankLate
}

// lack notes since when there is no news from where it should come.
func (gu *Guide) lack(now time.Duration) {
	if !gu.lacking {
		gu.lacking, gu.lackSince = true, now
	}
}

// leader is the first VM that ranks before this one and is not passed over: one of its
// data centre or, for the first there, the first of a data centre that ranks before it.
// With these only one VM of the region watches the store.
func (gu *Guide) leader(now time.Duration) string {
	vms := gu.near[:gu.before]
	if gu.before == 0 {
		vms = gu.above
	}
	vm, _ := gu.unpassed(now, vms)
	return vm.Addr
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
	if st.From == FromNobody {
		return
	}
	if rp.Failed || rp.Age > StaleAfter || rp.Own || rp.Follows {
		gu.lack(now)
	} else {
		gu.lacking, gu.hint = false, ""
	}
	if st.From == FromStore {
		gu.heardStore(now, rp)
		return
	}
	gu.mute = rp.Failed
	gu.heardPeer(now, st.Addr, rp)
}

func (gu *Guide) heardStore(now time.Duration, rp Report) {
	if !rp.Failed {
		gu.fails, gu.retryAt = 0, 0
		return
	}
	gu.fails++
	bo := retry.Backoff{First: retryFirst, Most: retryMost, Jitter: jitter}
	// All VMs of a data centre together ask little more often than a few would.
	times := min(1+gu.before, retryRanks)
	gu.retryAt = now + time.Duration(times)*bo.Wait(gu.fails, gu.cfg.Rand.Float64())
}

func (gu *Guide) heardPeer(now time.Duration, addr string, rp Report) {
	switch {
	case rp.Failed:
		gu.pass[addr] = now + gu.spread(passMute)
	case rp.Empty:
		gu.pass[addr] = now + gu.spread(passEmpty)
	case rp.Age > StaleAfter:
		gu.passOver(now, addr)
		gu.foundOld(now)
	case rp.Own, rp.Follows:
		// It knows what this VM told it. Two that follow each other hear nothing until
		// the news of both is old.
		gu.passOver(now, addr)
		if rp.Own {
			// All hear the store through this VM: it goes on asking, whose turn it may be.
			gu.lackSince = now - gu.turn()
		}
	case gu.old > 0:
		// The store is back for another VM. This one may be who should watch it, and
		// until then all would ask each other for news that nobody gets.
		gu.retryAt = min(gu.retryAt, now)
		gu.old = 0
	}
}

// passOver leaves a VM without news alone for a while.
func (gu *Guide) passOver(now time.Duration, addr string) {
	wait := passOld
	if gu.firsts[addr] {
		wait = passFirst
	}
	gu.pass[addr] = now + gu.spread(wait)
}

func (gu *Guide) spread(wait time.Duration) time.Duration {
	return time.Duration(float64(wait) * (1 + jitter*gu.cfg.Rand.Float64()))
}
