package feed

import (
	"time"

	"laburnumvane/core/rank"
	"laburnumvane/core/retry"
)

// Times of a search for news, where those that it should come from have none.
const (
	// searchFirst is the wait from one VM with old news to the next, which doubles up
	// to searchNear within the data centre and to searchFar beyond, where bytes are
	// paid for; it is over once somebody has news. Where the store serves some VMs,
	// news spreads from them within a second or two even so; where it serves none,
	// asking all others as often as it went was 58 calls a second of each of 78 VMs.
	searchFirst = 5 * time.Millisecond
	searchNear  = 80 * time.Millisecond
	searchFar   = 400 * time.Millisecond
)

// Hint takes in that a VM which asked this one has news of that age. Its news may come
// from the store, which turns this VM away.
func (gu *Guide) Hint(addr string, age time.Duration) {
	if age <= StaleAfter {
		gu.hint = addr
	}
}

// takeHint is a VM that was hinted at, once.
func (gu *Guide) takeHint() string {
	hint := gu.hint
	gu.hint = ""
	return hint
}

// elsewhere asks another data centre, or a VM of the own one that ranks behind.
func (gu *Guide) elsewhere(now time.Duration) Step {
	if now >= gu.farAt {
		if vm, ok := gu.unpassed(now, gu.far); ok {
			return Step{From: FromPeer, Addr: vm.Addr}
		}
	}
	if now >= gu.nearAt {
		if vm, ok := gu.unpassed(now, gu.near); ok {
			return Step{From: FromPeer, Addr: vm.Addr}
		}
	}
	return Step{From: FromNobody, Wait: gu.searchWait(now)}
}

// unpassed is the first of them that may be asked.
func (gu *Guide) unpassed(now time.Duration, vms []rank.VM) (rank.VM, bool) {
	for _, vm := range vms {
		if vm.Addr != gu.cfg.Self.Addr && !gu.passed(now, vm.Addr) {
			return vm, true
		}
	}
	return rank.VM{}, false
}

// searchWait is the time until a search goes on.
func (gu *Guide) searchWait(now time.Duration) time.Duration {
	wait := idleWait
	for _, at := range [2]time.Duration{gu.nearAt, gu.farAt} {
		if at > now {
			wait = min(wait, at-now)
		}
	}
	return wait
}

// foundOld bounds how soon the next VM is asked after one had old news.
func (gu *Guide) foundOld(now time.Duration) {
	gu.old++
	draw := gu.cfg.Rand.Float64()
	near := retry.Backoff{First: searchFirst, Most: searchNear, Jitter: jitter}
	far := retry.Backoff{First: searchFirst, Most: searchFar, Jitter: jitter}
	gu.nearAt = now + near.Wait(gu.old, draw)
	gu.farAt = now + far.Wait(gu.old, draw)
}
