package upst

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// tickEvery is short against the second or two within which a silent
	// connection must be found.
	tickEvery = 250 * time.Millisecond
	// fillsPerTick bounds the connections opened without demand, over all
	// servers, so that a VM's cold start is no storm of its own.
	fillsPerTick = 16
	// doubtEvery is the least number of ticks between spreading doubt.
	doubtEvery = 20
	// pingsPerTick bounds the background pings to one server.
	pingsPerTick = 2
)

// KeepConfig sets the upkeep of all servers' connections.
type KeepConfig struct {
	// Servers lists the servers of the moment.
	Servers func() []*Server
	// Count is told what happened to connections since the last time.
	Count func(reason string, n int64)
}

// Keep looks after the connections of all servers until the context ends.
func Keep(ctx context.Context, cfg KeepConfig) {
	ke := &keeper{cfg: cfg}
	tk := time.NewTicker(tickEvery)
	defer tk.Stop()
	for {
		select {
		case <-tk.C:
			ke.tick()
		case <-ctx.Done():
			return
		}
	}
}

// keeper is the upkeep of all servers.
type keeper struct {
	cfg KeepConfig
	// quiet counts down the ticks until doubt may spread again.
	quiet int
}

func (ke *keeper) tick() {
	servers := ke.cfg.Servers()
	if len(servers) == 0 {
		return
	}
	fills := fillsPerTick
	alarm := false
	// Another server first each time: the bound must starve none.
	first := rand.IntN(len(servers))
	for i := range servers {
		sv := servers[(first+i)%len(servers)]
		if sv.Tick(fills > 0) {
			fills--
		}
		alarm = sv.pool.alarm.Swap(false) || alarm
		sv.Harvest(ke.cfg.Count)
	}
	ke.spread(servers, alarm)
}

// spread has the connections to all servers proved when one was found silent: a
// search that met three of them in a row would have no replica left. One server
// that is mute must not cause it again and again.
func (ke *keeper) spread(servers []*Server, alarm bool) {
	if ke.quiet > 0 {
		ke.quiet--
		return
	}
	if !alarm {
		return
	}
	ke.quiet = doubtEvery
	for _, sv := range servers {
		sv.Doubt()
	}
}

// Tick looks after the connections once: it closes silent ones, pings and
// closes idle ones, and with fill opens one where too few are open. It tells
// whether it opened one.
func (sv *Server) Tick(fill bool) bool {
	return sv.pool.tick(fill)
}

// Harvest reports what happened to connections since the last call, by reason.
func (sv *Server) Harvest(count func(reason string, n int64)) {
	sv.pool.stats.harvest(count)
}

func (po *pool) tick(fill bool) bool {
	po.mu.Lock()
	defer po.mu.Unlock()
	if po.shut {
		return false
	}
	now := po.cfg.Clock()
	for _, cn := range po.track.Silent(now, nil) {
		// Its exchange sees the end of the connection and gives it back.
		if !cn.silent.Load() {
			po.stats.count(evSilent)
			po.foundSilent()
			cn.cut()
		}
	}
	po.dropDead()
	po.pingIdle(now)
	po.closeUnneeded(now)
	po.feed()
	if po.track.Doubt(now) {
		po.seekProof(now)
	}
	if fill && po.gate.Fill(now) {
		po.open()
		return true
	}
	return false
}

// dropDead drops idle connections that the server has closed, so that they are
// replaced before a request needs one.
func (po *pool) dropDead() {
	kept := po.idle[:0]
	for _, cn := range po.idle {
		if cn.link.alive() {
			kept = append(kept, cn)
			continue
		}
		po.stats.count(evStale)
		po.drop(cn)
	}
	clear(po.idle[len(kept):])
	po.idle = kept
}

// pingIdle proves the connections that were not answered on for long.
func (po *pool) pingIdle(now time.Duration) {
	for range pingsPerTick {
		i := po.leastProved()
		if i < 0 {
			return
		}
		age := now - po.idle[i].proved
		if age < po.cfg.ProveIdle && po.idle[i].proved > po.doubted {
			return
		}
		po.pingInBackground(po.takeIdle(i))
	}
}

// seekProof pings to learn whether the server answers at all while an exchange
// is in doubt; a new connection, which is proved by a ping, does as well.
func (po *pool) seekProof(now time.Duration) {
	if n := len(po.idle); n > 0 {
		po.pingInBackground(po.takeIdle(n - 1))
		return
	}
	if po.gate.MayOpen(now) {
		po.open()
		return
	}
	if po.gate.Full(now) && !po.probing {
		po.probeBeyond()
	}
}

// probeBeyond opens a connection for one ping and closes it again, although the
// limit is reached. With a single connection, which is the one in doubt, there
// is no other way to learn whether the server answers. It is one more for some
// milliseconds, out of the reserve that the connection plan leaves.
func (po *pool) probeBeyond() {
	po.probing = true
	po.stats.count(evProbe)
	go func() {
		began := po.cfg.Clock()
		cn, err := po.dial()
		if err == nil {
			cn.link.close()
		}
		po.mu.Lock()
		defer po.mu.Unlock()
		po.probing = false
		if err == nil {
			po.track.Vouch(began)
		}
	}()
}

func (po *pool) pingInBackground(cn *conn) {
	// A ping is no use of the connection: it must not keep it from being
	// closed as unneeded.
	po.inUse++
	go func() {
		if po.ping(cn, po.cfg.DialTimeout/2) {
			po.put(cn)
		}
	}()
}

func (po *pool) closeUnneeded(now time.Duration) {
	if len(po.idle) == 0 || po.gate.Open() <= po.gate.Want() {
		return
	}
	if now-po.idle[0].used >= po.cfg.IdleClose {
		po.stats.count(evIdleClosed)
		po.drop(po.takeIdle(0))
	}
}

func (po *pool) leastProved() int {
	least := -1
	for i, cn := range po.idle {
		if least < 0 || cn.proved < po.idle[least].proved {
			least = i
		}
	}
	return least
}

func (po *pool) takeIdle(i int) *conn {
	cn := po.idle[i]
	copy(po.idle[i:], po.idle[i+1:])
	po.idle[len(po.idle)-1] = nil
	po.idle = po.idle[:len(po.idle)-1]
	return cn
}
