package upst

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// tickInterval is short compared with the second or two within which a silent connection
	// must be found.
	tickInterval = 250 * time.Millisecond
	// fillsPerTick limits the connections opened without demand, over all servers, so that a
	// VM's cold start does not cause a burst of openings.
	fillsPerTick = 16
	// pingAllTicks is the minimum number of ticks between two calls of RequirePing for all
	// servers.
	pingAllTicks = 20
	// pingsPerTick limits the background pings to one server in a tick.
	pingsPerTick = 2
)

// MaintainConfig configures the maintenance of all servers' connections.
type MaintainConfig struct {
	// Servers returns the present servers; it is called at each tick.
	Servers func() []*Server
	// Count receives the number of events since the last tick, by reason.
	Count func(reason string, n int64)
}

// Maintain maintains the connections of all servers until the context ends.
func Maintain(ctx context.Context, cfg MaintainConfig) {
	ma := &maintainer{cfg: cfg}
	tk := time.NewTicker(tickInterval)
	defer tk.Stop()
	for {
		select {
		case <-tk.C:
			ma.tick()
		case <-ctx.Done():
			return
		}
	}
}

// maintainer maintains the connections of all servers.
type maintainer struct {
	cfg MaintainConfig
	// cooldownTicks is the number of ticks until pingAll may act again.
	cooldownTicks int
}

func (ma *maintainer) tick() {
	servers := ma.cfg.Servers()
	if len(servers) == 0 {
		return
	}
	fills := fillsPerTick
	silentFound := false
	// Start at a random server, so that fillsPerTick starves none.
	first := rand.IntN(len(servers))
	for i := range servers {
		sv := servers[(first+i)%len(servers)]
		if sv.MaintainOnce(fills > 0) {
			fills--
		}
		silentFound = sv.pool.silentFound.Swap(false) || silentFound
		sv.ReportEvents(ma.cfg.Count)
	}
	ma.pingAll(servers, silentFound)
}

// pingAll makes all servers' connections require a ping after one was found silent: a search
// that used three silent connections in a row would have no replica left. The cooldown keeps a
// single server that never answers from causing this continually.
func (ma *maintainer) pingAll(servers []*Server, silentFound bool) {
	if ma.cooldownTicks > 0 {
		ma.cooldownTicks--
		return
	}
	if !silentFound {
		return
	}
	ma.cooldownTicks = pingAllTicks
	for _, sv := range servers {
		sv.RequirePing()
	}
}

// MaintainOnce maintains the connections once: it closes silent ones, pings or closes idle ones, and
// with fill opens one if too few are open. It reports whether it opened one for that reason.
func (sv *Server) MaintainOnce(fill bool) bool {
	return sv.pool.tick(fill)
}

// ReportEvents reports the number of connection events since the last call, by reason.
func (sv *Server) ReportEvents(count func(reason string, n int64)) {
	sv.pool.stats.report(count)
}

func (po *pool) tick(fill bool) bool {
	po.mu.Lock()
	defer po.mu.Unlock()
	if po.closed {
		return false
	}
	now := po.cfg.Clock()
	for _, cn := range po.tracker.Silent(now, nil) {
		// The exchange in progress fails and gives the connection back.
		if !cn.silent.Load() {
			po.stats.count(evSilent)
			po.noteSilent()
			cn.closeSilent()
		}
	}
	po.closeStale()
	po.pingIdle(now)
	po.closeUnneeded(now)
	po.openForWaiters()
	if po.tracker.ShouldPing(now) {
		po.checkServer(now)
	}
	if fill && po.gate.MayFill(now) {
		po.startOpening()
		return true
	}
	return false
}

// closeStale closes idle connections that the server has closed, so that they are replaced
// before a request needs one.
func (po *pool) closeStale() {
	kept := po.idle[:0]
	for _, cn := range po.idle {
		if cn.tcp.alive() {
			kept = append(kept, cn)
			continue
		}
		po.stats.count(evStale)
		po.closeConn(cn)
	}
	clear(po.idle[len(kept):])
	po.idle = kept
}

// pingIdle pings idle connections without a recent answer.
func (po *pool) pingIdle(now time.Duration) {
	for range pingsPerTick {
		i := po.longestUnanswered()
		if i < 0 {
			return
		}
		age := now - po.idle[i].answeredAt
		if age < po.cfg.PingAfter && po.idle[i].answeredAt > po.answersVoidUntil {
			return
		}
		po.pingInBackground(po.takeIdle(i))
	}
}

// checkServer finds out whether the server answers at all, while the reply of an exchange is
// unusually late. It pings on an idle connection, or opens one, which includes a ping.
func (po *pool) checkServer(now time.Duration) {
	if n := len(po.idle); n > 0 {
		po.pingInBackground(po.takeIdle(n - 1))
		return
	}
	if po.gate.MayOpen(now) {
		po.startOpening()
		return
	}
	if po.gate.Full(now) && !po.probing {
		po.probeOverLimit()
	}
}

// probeOverLimit opens a connection for one ping and closes it again, although the limit is
// reached. If the only connection allowed is the one that may be silent, there is no other way
// to find out whether the server answers. The extra connection is open for some milliseconds and
// is covered by the reserve of the connection plan.
func (po *pool) probeOverLimit() {
	po.probing = true
	po.stats.count(evProbe)
	go func() {
		began := po.cfg.Clock()
		cn, err := po.dial()
		if err == nil {
			cn.tcp.close()
		}
		po.mu.Lock()
		defer po.mu.Unlock()
		po.probing = false
		if err == nil {
			po.tracker.Overtake(began)
		}
	}()
}

func (po *pool) pingInBackground(cn *conn) {
	// A ping does not update usedAt, or it would keep an unneeded connection from being
	// closed.
	po.inUse++
	go func() {
		if po.ping(cn, po.cfg.DialTimeout/2) {
			po.put(cn)
		}
	}()
}

func (po *pool) closeUnneeded(now time.Duration) {
	if len(po.idle) == 0 || po.gate.Open() <= po.gate.Target() {
		return
	}
	if now-po.idle[0].usedAt >= po.cfg.IdleClose {
		po.stats.count(evIdleClosed)
		po.closeConn(po.takeIdle(0))
	}
}

// longestUnanswered returns the index of the idle connection with the oldest answer, or -1.
func (po *pool) longestUnanswered() int {
	oldest := -1
	for i, cn := range po.idle {
		if oldest < 0 || cn.answeredAt < po.idle[oldest].answeredAt {
			oldest = i
		}
	}
	return oldest
}

func (po *pool) takeIdle(i int) *conn {
	cn := po.idle[i]
	copy(po.idle[i:], po.idle[i+1:])
	po.idle[len(po.idle)-1] = nil
	po.idle = po.idle[:len(po.idle)-1]
	return cn
}
