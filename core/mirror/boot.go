package mirror

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Delays and time-outs of a boot.
const (
	// firstStartDelay and restartDelay are how long a booting VM asks only other VMs, so
	// that the whole fleet does not read the store at once. When the fleet starts for the
	// first time, no clients are waiting yet. Later they are, and a running VM that has a
	// copy answers within two round trips plus the opening of a connection.
	firstStartDelay = 1200 * time.Millisecond
	restartDelay    = 40 * time.Millisecond
	// maxSeedWait and minSeedWait bound the wait for one seed. A seed that lost power
	// together with this VM never answers, and no other peer is asked meanwhile; sending a
	// copy takes about 40 ms on a small VM's link.
	maxSeedWait = 150 * time.Millisecond
	minSeedWait = 40 * time.Millisecond
	// storeDeferMax bounds how long reading the store is deferred while other booting VMs
	// are about to have a copy. Without it, a fleet of 195 VMs that lost power would read
	// the store 195 times at once, which occupies its link for half a second. One VM in
	// vmsPerReader does not defer, because the seeds may be slow to read the store.
	storeDeferMax = 600 * time.Millisecond
	vmsPerReader  = 8
	// slowLinkMbps is the link rate in Mbit/s below which a VM reads the list of VMs from
	// the store before it reads the full copy: with a large configuration the copy is
	// 450 kB, which takes 36 ms at 100 Mbit/s. listDeferMax is how long the VM then defers
	// reading the full copy; getting a copy from another VM takes a third of that.
	// readerWaitMax bounds the wait for one of the listed readers: a VM without power never
	// answers, and a copy arrives within 40 ms.
	slowLinkMbps  = 100.0
	listDeferMax  = 300 * time.Millisecond
	readerWaitMax = 60 * time.Millisecond
	// seedPause is the wait between two calls to peers. minStoreRetry is the wait before
	// the store is asked again; it doubles up to maxStoreRetry.
	seedPause     = 30 * time.Millisecond
	minStoreRetry = 200 * time.Millisecond
	maxStoreRetry = 1500 * time.Millisecond
)

// BootConfig configures a Boot.
type BootConfig struct {
	// Self is this VM's inner address. Seeds are the inner addresses of some VMs, which
	// may no longer exist.
	Self  string
	Seeds []string
	// FirstStart is set when the whole fleet starts for the first time.
	FirstStart bool
	// LinkMbps is the rate of this VM's link, in Mbit/s; 0 if unknown.
	LinkMbps float64
	Rand     *rand.Rand
	// Now is the time at which the boot begins.
	Now time.Duration
}

// Boot selects the source from which a VM without a copy gets its first one. It asks the
// seeds, the VMs that they name, the VMs that those name, and so on: while the store refuses
// this VM, they are the only VMs it knows of, and each of them may be booting too. It is not
// safe for concurrent use.
type Boot struct {
	cfg BootConfig
	// peers are the seeds and the VMs named later.
	peers []string
	// storeAt and peerAt are when the store and a peer are asked next.
	storeAt, peerAt time.Duration
	storeRetry      time.Duration
	// deferred is set once reading the store was deferred in favour of other booting VMs.
	deferred bool
	// listAsked is set once the list of VMs was requested from the store, haveReaders once
	// it named VMs that read the store.
	listAsked, haveReaders bool
}

// NewBoot returns a boot that begins at cfg.Now.
func NewBoot(cfg BootConfig) *Boot {
	bo := &Boot{cfg: cfg, peers: slices.Clone(cfg.Seeds), storeRetry: minStoreRetry, peerAt: cfg.Now}
	bo.storeAt = cfg.Now + bo.seedOnlyTime()
	return bo
}

// seedOnlyTime is how long only the seeds are asked. The seeds themselves ask the store at
// once.
func (bo *Boot) seedOnlyTime() time.Duration {
	switch {
	case len(bo.cfg.Seeds) == 0, bo.isSeed():
		return 0
	case bo.cfg.FirstStart:
		return firstStartDelay
	}
	return restartDelay
}

// needsList reports whether this VM reads the list of VMs before it reads the full copy. At a
// first start no VM has an entry yet, and a seed that has answered names other VMs itself.
func (bo *Boot) needsList() bool {
	slow := bo.cfg.LinkMbps > 0 && bo.cfg.LinkMbps < slowLinkMbps
	return slow && !bo.listAsked && !bo.deferred && !bo.cfg.FirstStart && !bo.isSeed()
}

func (bo *Boot) isSeed() bool { return slices.Contains(bo.cfg.Seeds, bo.cfg.Self) }

// Next returns what to ask next. For a peer, Step.Wait is the time-out of the call.
func (bo *Boot) Next(now time.Duration) Step {
	if now >= bo.storeAt && bo.needsList() {
		bo.listAsked = true
		return Step{From: FromList, Wait: listDeferMax / 2}
	}
	if now >= bo.storeAt {
		bo.storeAt = now + bo.storeRetry
		bo.storeRetry = min(2*bo.storeRetry, maxStoreRetry)
		return Step{From: FromStore}
	}
	if now < bo.peerAt {
		return Step{From: FromNone, Wait: min(bo.peerAt, bo.storeAt) - now}
	}
	addr, ok := bo.pickPeer()
	if !ok {
		bo.peerAt = now + seedPause
		return bo.Next(now)
	}
	most := maxSeedWait
	if bo.haveReaders {
		most = readerWaitMax
	}
	return Step{From: FromPeer, Addr: addr, Wait: min(max(bo.storeAt-now, minSeedWait), most)}
}

// SetReaders records which VMs of this data centre read the store for the others, see Readers,
// and whether this VM is one of them. Those VMs replace the seeds, which have not answered.
// If the list is empty, or names this VM, this VM reads the store itself.
func (bo *Boot) SetReaders(now time.Duration, readers []string, self bool) {
	bo.storeAt, bo.peerAt = now, now
	if self || len(readers) == 0 {
		return
	}
	bo.haveReaders = true
	bo.peers = slices.Clone(readers)
	bo.storeAt = now + listDeferMax/2 + time.Duration(bo.cfg.Rand.Int64N(int64(listDeferMax/2)))
}

// Failed records that a step yielded no copy. A peer without a copy to give is alive and
// names others that have one by now. A peer whose machine refused the connection is about to
// start, like this VM.
func (bo *Boot) Failed(now time.Duration, st Step, oc Outcome) {
	switch st.From {
	case FromPeer:
		bo.peerAt = now + seedPause
		if oc.Empty || oc.Refused {
			bo.deferStore()
		}
		for _, addr := range oc.Holders {
			bo.AddPeer(now, addr)
		}
	case FromStore:
		bo.storeAt = max(bo.storeAt, now+seedPause)
	}
}

// deferStore defers the first call to the store; later calls of deferStore have no effect.
func (bo *Boot) deferStore() {
	if bo.deferred || bo.storeRetry != minStoreRetry || bo.isSeed() {
		return
	}
	bo.deferred = true
	if bo.cfg.Rand.IntN(vmsPerReader) == 0 {
		return
	}
	half := int64(storeDeferMax / 2)
	bo.storeAt = max(bo.storeAt, bo.cfg.Now+storeDeferMax/2+time.Duration(bo.cfg.Rand.Int64N(half)))
}

// Announces reports whether this VM should announce its copy to the seeds after a step: the seeds
// may have none, and all other VMs ask them.
func (bo *Boot) Announces(st Step) bool { return st.From == FromStore && !bo.isSeed() }

// AddPeer adds a VM that has a copy, and allows asking a peer at once.
func (bo *Boot) AddPeer(now time.Duration, addr string) {
	bo.peerAt = now
	if addr != bo.cfg.Self && !slices.Contains(bo.peers, addr) {
		bo.peers = append(bo.peers, addr)
	}
}

// pickPeer picks a random peer; ok is false if there is none or it is this VM itself.
func (bo *Boot) pickPeer() (string, bool) {
	if len(bo.peers) == 0 {
		return "", false
	}
	addr := bo.peers[bo.cfg.Rand.IntN(len(bo.peers))]
	return addr, addr != bo.cfg.Self
}
