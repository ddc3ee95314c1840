package follow

import (
	"context"
	"sync"
	"time"

	"laburnumvane/core/feed"
)

// boot asks seeds and the store until there is a copy. What is read from the store comes
// beside what others answer: on a small link it takes a quarter of a second, and a VM
// that has its copy by then gives it in twenty milliseconds.
func (fo *Follower) boot(ctx context.Context) {
	bo := feed.NewBoot(feed.BootConfig{
		Self:       fo.cfg.Self.Addr,
		Seeds:      fo.cfg.Seeds,
		FirstStart: fo.cfg.FirstStart,
		LinkMbps:   fo.cfg.LinkMbps,
		Rand:       fo.cfg.Rand,
		Now:        fo.cfg.Clock(),
	})
	reads, cancel := context.WithCancel(ctx)
	defer cancel()
	rd := &reading{fo: fo, done: make(chan result, 1)}
	for ctx.Err() == nil && !fo.known() {
		if as := fo.takenAsker(); as.addr != "" {
			bo.Name(fo.cfg.Clock(), as.addr)
		}
		if re, ok := rd.taken(); ok {
			fo.bootRead(ctx, bo, re)
			continue
		}
		switch st := bo.Next(fo.cfg.Clock()); st.From {
		case feed.FromStore:
			rd.start(reads)
		case feed.FromList:
			fo.bootList(ctx, bo, st)
		default:
			waiting, stop := rd.until(ctx)
			fo.bootWait(waiting, bo, st)
			stop()
		}
	}
}

// bootWait asks a peer, or waits.
func (fo *Follower) bootWait(ctx context.Context, bo *feed.Boot, st feed.Step) {
	if st.From != feed.FromPeer {
		sleep(ctx, st.Wait)
		return
	}
	if rp, err := fo.bootAsk(ctx, st); err != nil {
		bo.Failed(fo.cfg.Clock(), st, rp)
	}
}

// bootRead takes in what the store answered.
func (fo *Follower) bootRead(ctx context.Context, bo *feed.Boot, re result) {
	st := feed.Step{From: feed.FromStore}
	if err := fo.takeStore(re.update, re.err); err != nil {
		bo.Failed(fo.cfg.Clock(), st, feed.Report{Failed: true})
		return
	}
	if bo.Tells(st) {
		fo.tellSeeds(ctx)
	}
}

// bootList asks the store who the others are.
func (fo *Follower) bootList(ctx context.Context, bo *feed.Boot, st feed.Step) {
	bounded, cancel := context.WithTimeout(ctx, st.Wait)
	defer cancel()
	fo.countStore()
	members, err := fo.cfg.List(bounded)
	if err != nil {
		// It may be slow only, and is read whole with more time.
		fo.cfg.Count("storeFailed")
		members = nil
	}
	readers, own := feed.Readers(fo.cfg.Self, members)
	bo.Listed(fo.cfg.Clock(), readers, own)
}

func (fo *Follower) bootAsk(ctx context.Context, st feed.Step) (feed.Report, error) {
	bounded, cancel := context.WithTimeout(ctx, st.Wait)
	defer cancel()
	rp, err := fo.fromPeer(bounded, st.Addr)
	if err == nil {
		fo.gave = st.Addr
	}
	return rp, err
}

// stayTime is how long a VM that knows no other one stays with the VM that gave its
// first copy. When a fleet starts for the first time, its entries are in the store
// within half a second; until then each VM would take itself for the only one and watch
// the store, with as many calls as there are VMs.
const stayTime = 3 * time.Second

// stay follows the VM that gave the first copy until others are known.
func (fo *Follower) stay(ctx context.Context) {
	until := fo.cfg.Clock() + stayTime
	for fo.gave != "" && ctx.Err() == nil && fo.cfg.Clock() < until {
		fo.takePeers()
		if len(fo.places) > 0 {
			return
		}
		if _, err := fo.fromPeer(ctx, fo.gave); err != nil {
			fo.cfg.Switched(feed.Step{From: feed.FromPeer, Addr: fo.gave}, fo.Age(), err)
			return
		}
	}
}

// reading is a call to the store that goes on while others are asked.
type reading struct {
	fo *Follower
	// busy is set while a call is under way; its result comes in done.
	busy bool
	done chan result

	mu sync.Mutex
	// interrupt ends what waits meanwhile; nil if nothing does.
	interrupt context.CancelFunc
}

// result is what the store answered.
type result struct {
	update feed.Update
	err    error
}

// start calls the store, unless a call is under way.
func (rd *reading) start(ctx context.Context) {
	if rd.busy {
		return
	}
	rd.busy = true
	rd.fo.countStore()
	rd.fo.tells.Go(func() {
		up, err := rd.fo.askStore(ctx)
		rd.mu.Lock()
		defer rd.mu.Unlock()
		rd.done <- result{update: up, err: err}
		if rd.interrupt != nil {
			rd.interrupt()
		}
	})
}

// until is a context that ends when the store has answered; stop is called in any case.
func (rd *reading) until(ctx context.Context) (waiting context.Context, stop func()) {
	waiting, cancel := context.WithCancel(ctx)
	rd.mu.Lock()
	defer rd.mu.Unlock()
	if len(rd.done) > 0 {
		cancel()
	}
	rd.interrupt = cancel
	return waiting, func() {
		rd.mu.Lock()
		defer rd.mu.Unlock()
		rd.interrupt = nil
		cancel()
	}
}

// taken is the result of a call that has ended.
func (rd *reading) taken() (result, bool) {
	select {
	case re := <-rd.done:
		rd.busy = false
		return re, true
	default:
		return result{}, false
	}
}

// tellTime bounds the call by which a seed hears that this VM has a copy; after it the
// others have one from elsewhere.
const tellTime = 200 * time.Millisecond

// tellSeeds has the seeds know that this VM has a copy. It does not wait for them: some
// may have lost their power for good.
func (fo *Follower) tellSeeds(ctx context.Context) {
	after := fo.asOf()
	for _, addr := range fo.cfg.Seeds {
		fo.tells.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, tellTime)
			defer cancel()
			fo.cfg.Count("tell")
			// A seed that is not there yet hears of it from others.
			if _, err := fo.ask(bounded, addr, after, 0); err != nil {
				fo.cfg.Count("tellFailed")
			}
		})
	}
}

func (fo *Follower) asOf() uint64 {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.replica.AsOf()
}

func (fo *Follower) known() bool {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.replica.Known()
}
