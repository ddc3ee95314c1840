package feed

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Times of a boot.
const (
	// firstTime and againTime are how long a VM that boots asks other VMs only,
	// lest the whole fleet reads the store at once: when the fleet starts for
	// the first time, nobody waits for it yet; later, clients do, and a VM that
	// lives and knows answers within two round trips and the opening of a
	// connection.
	firstTime = 1200 * time.Millisecond
	againTime = 40 * time.Millisecond
	// seedMost and seedLeast bound the wait for one seed. One that lost its power
	// with this VM never answers, and others that would are not asked meanwhile; one
	// that gives a copy needs some 40 ms for it on a small VM's link.
	seedMost  = 150 * time.Millisecond
	seedLeast = 40 * time.Millisecond
	// comingMost is how long the store is left alone at most while others that boot too
	// will have a copy soon: a fleet that lost its power would else read it 195 times
	// at once, which takes its link half a second. One VM in readersEvery does not wait,
	// for the seeds may be slow to read it.
	comingMost   = 600 * time.Millisecond
	readersEvery = 8
	// slowLink is the rate in Mbit/s below which a VM asks the store who the others are
	// before it reads it whole: with a large configuration that is 450 kB, and 36 ms at
	// 100 Mbit/s. listMost is how long it leaves the store alone then: a copy from another
	// VM takes a third of it. readerMost bounds the wait for one of those that were named:
	// with no power it never answers, and a copy comes within 40 ms.
	slowLink   = 100.0
	listMost   = 300 * time.Millisecond
	readerMost = 60 * time.Millisecond
	// seedPause is the wait between two rounds of that. bootRetry is the wait
	// before the store is asked again; it doubles up to bootRetryMost.
	seedPause     = 30 * time.Millisecond
	bootRetry     = 200 * time.Millisecond
	bootRetryMost = 1500 * time.Millisecond
)

// BootConfig sets a boot.
type BootConfig struct {
	// Self is this VM's inner address, Seeds those of some VMs, which may be
	// gone.
	Self  string
	Seeds []string
	// FirstStart is set when the whole fleet starts for the first time.
	FirstStart bool
	// LinkMbps is the rate of this VM's link, in Mbit/s; 0 if it is not known.
	LinkMbps float64
	Rand     *rand.Rand
	// Now is when the boot begins.
	Now time.Duration
}

// Boot decides whom a VM asks that has no copy yet: the seeds first and those that they
// name, and on and on, since while the store turns this VM away they are the only ones
// it knows, and each of them may be booting itself. It is not safe for concurrent use.
type Boot struct {
	cfg BootConfig
	// peers are the seeds and those that were named.
	peers []string
	// storeAt and seedAt are when the store and a seed are asked next.
	storeAt, seedAt time.Duration
	wait            time.Duration
	// coming is set once the store was left alone for those that boot too.
	coming bool
	// listed is set once the store was asked who the others are, named if it told.
	listed, named bool
}

// NewBoot makes a boot that begins now.
func NewBoot(cfg BootConfig) *Boot {
	bo := &Boot{cfg: cfg, peers: slices.Clone(cfg.Seeds), wait: bootRetry, seedAt: cfg.Now}
	bo.storeAt = cfg.Now + bo.seedTime()
	return bo
}

// seedTime is how long only the seeds are asked; the seeds themselves ask the
// store at once.
func (bo *Boot) seedTime() time.Duration {
	switch {
	case len(bo.cfg.Seeds) == 0, bo.isSeed():
		return 0
	case bo.cfg.FirstStart:
		return firstTime
	}
	return againTime
}

// lists tells whether this VM asks the store who the others are before it reads it. At a
// first start nobody has an entry yet, and a seed that answered names others itself.
func (bo *Boot) lists() bool {
	slow := bo.cfg.LinkMbps > 0 && bo.cfg.LinkMbps < slowLink
	return slow && !bo.listed && !bo.coming && !bo.cfg.FirstStart && !bo.isSeed()
}

func (bo *Boot) isSeed() bool { return slices.Contains(bo.cfg.Seeds, bo.cfg.Self) }

// Next says whom to ask. For a seed, Wait is how long its answer may take.
func (bo *Boot) Next(now time.Duration) Step {
	if now >= bo.storeAt && bo.lists() {
		bo.listed = true
		return Step{From: FromList, Wait: listMost / 2}
	}
	if now >= bo.storeAt {
		bo.storeAt = now + bo.wait
		bo.wait = min(2*bo.wait, bootRetryMost)
		return Step{From: FromStore}
	}
	if now < bo.seedAt {
		return Step{From: FromNobody, Wait: min(bo.seedAt, bo.storeAt) - now}
	}
	addr, ok := bo.seed()
	if !ok {
		bo.seedAt = now + seedPause
		return bo.Next(now)
	}
	most := seedMost
	if bo.named {
		most = readerMost
	}
	return Step{From: FromPeer, Addr: addr, Wait: min(max(bo.storeAt-now, seedLeast), most)}
}

// Listed takes in who reads the store for the others of this data centre, see Readers,
// and whether this VM is one of them. They are asked in place of the seeds, which have
// not answered. Where nobody is named, this VM reads the store itself.
func (bo *Boot) Listed(now time.Duration, readers []string, self bool) {
	bo.storeAt, bo.seedAt = now, now
	if self || len(readers) == 0 {
		return
	}
	bo.named = true
	bo.peers = slices.Clone(readers)
	bo.storeAt = now + listMost/2 + time.Duration(bo.cfg.Rand.Int64N(int64(listMost/2)))
}

// Failed tells that what was asked gave no copy. A peer that has none to give lives, and
// names others that have one by now; one whose machine refused the connection is about
// to start, like this VM.
func (bo *Boot) Failed(now time.Duration, st Step, rp Report) {
	switch st.From {
	case FromPeer:
		bo.seedAt = now + seedPause
		if rp.Empty || rp.Refused {
			bo.leaveStore()
		}
		for _, addr := range rp.Others {
			bo.Name(now, addr)
		}
	case FromStore:
		bo.storeAt = max(bo.storeAt, now+seedPause)
	}
}

// leaveStore puts the first call to the store off, once.
func (bo *Boot) leaveStore() {
	if bo.coming || bo.wait != bootRetry || bo.isSeed() {
		return
	}
	bo.coming = true
	if bo.cfg.Rand.IntN(readersEvery) == 0 {
		return
	}
	half := int64(comingMost / 2)
	bo.storeAt = max(bo.storeAt, bo.cfg.Now+comingMost/2+time.Duration(bo.cfg.Rand.Int64N(half)))
}

// Tells says whether this VM should have the seeds know of its copy after a step: they
// may have none, and are asked by all others.
func (bo *Boot) Tells(st Step) bool { return st.From == FromStore && !bo.isSeed() }

// Name adds a VM that has a copy, which can be asked at once.
func (bo *Boot) Name(now time.Duration, addr string) {
	bo.seedAt = now
	if addr != bo.cfg.Self && !slices.Contains(bo.peers, addr) {
		bo.peers = append(bo.peers, addr)
	}
}

// seed draws one of the seeds, or of those that were named.
func (bo *Boot) seed() (string, bool) {
	if len(bo.peers) == 0 {
		return "", false
	}
	addr := bo.peers[bo.cfg.Rand.IntN(len(bo.peers))]
	return addr, addr != bo.cfg.Self
}
