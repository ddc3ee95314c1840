package member

import (
	"time"
)

// purpose is the reason why a message was sent.
type purpose uint8

const (
	purposeBeat purpose = iota
	// purposeRetry: a direct probe of a VM that did not answer a beat.
	purposeRetry
	// purposeContact: an attempt to contact a VM that is not known to be live.
	purposeContact
	purposeUrgent
	purposeRelay
	// purposeIndirect: a probe on behalf of another VM.
	purposeIndirect
	// purposeHelpRequest: a request to another VM to send an indirect probe.
	purposeHelpRequest
)

// exchange is a request that waits for its reply.
type exchange struct {
	purpose  purpose
	to       string
	deadline time.Duration
	// tag identifies the HelpRequested request that a purposeIndirect exchange serves.
	tag uint64
}

// send starts an exchange with a VM by a beat.
func (ma *Machine) send(to *record, pu purpose, tag uint64) {
	id := ma.openExchange(exchange{purpose: pu, to: to.Addr, deadline: ma.now + ma.cfg.BeatTimeout, tag: tag})
	ma.emit(Send{Exchange: id, To: to.VM, Message: ma.buildMessage(to, pu == purposeRelay)})
}

func (ma *Machine) openExchange(ex exchange) uint64 {
	ma.lastExchange++
	ma.exchanges[ma.lastExchange] = ex
	return ma.lastExchange
}

// expireExchanges fails the exchanges whose deadline has passed.
func (ma *Machine) expireExchanges() {
	var expired []uint64
	for id, ex := range ma.exchanges {
		if ma.now >= ex.deadline {
			expired = append(expired, id)
		}
	}
	// Map iteration is random; sorting keeps the actions deterministic.
	sortIDs(expired)
	for _, id := range expired {
		ma.failExchange(id)
	}
}

func (ma *Machine) failExchange(id uint64) {
	ex, ok := ma.exchanges[id]
	if !ok {
		return
	}
	delete(ma.exchanges, id)
	switch ex.purpose {
	case purposeBeat:
		ma.startProbing(ex.to)
	case purposeIndirect:
		ma.emit(HelpReply{Tag: ex.tag})
	case purposeRelay:
		ma.relayFailed(ex.to)
	}
}

func (ev Failed) apply(ma *Machine) {
	ma.failExchange(ev.Exchange)
}

func (ev Answered) apply(ma *Machine) {
	ex, ok := ma.exchanges[ev.Exchange]
	if !ok {
		// The exchange has timed out, but the content of the reply is still valid.
		ma.mergeMessage(ev.Message)
		return
	}
	delete(ma.exchanges, ev.Exchange)
	ma.lastAnswer = ma.now
	ma.mergeMessage(ev.Message)
	ma.stopProbing(ex.to)
	switch ex.purpose {
	case purposeIndirect:
		ma.emit(HelpReply{Tag: ex.tag, Reached: true, Target: ev.Message.From})
	case purposeRelay:
		ma.relayAnswered(ex.to)
	}
	if ma.joining {
		ma.saveJoinProgress(ev.Message)
	}
}

func (ev Received) apply(ma *Machine) {
	mg := ev.Message
	ma.mergeMessage(mg)
	to := ma.table.byAddr[mg.From.Addr]
	if to == nil {
		return
	}
	ma.emit(Reply{Tag: ev.Tag, Message: ma.buildReply(to, mg)})
}

func (ev HelpRequested) apply(ma *Machine) {
	ma.receiveState(ev.Target)
	to, ok := ma.table.byAddr[ev.Target.Addr]
	if !ok {
		ma.emit(HelpReply{Tag: ev.Tag})
		return
	}
	ma.send(to, purposeIndirect, ev.Tag)
}

func (ev HelpDone) apply(ma *Machine) {
	ex, ok := ma.exchanges[ev.Exchange]
	if !ok {
		return
	}
	delete(ma.exchanges, ev.Exchange)
	ma.lastAnswer = ma.now
	if ev.Reached {
		ma.receiveState(ev.Target)
		ma.stopProbing(ex.to)
	}
}

// mergeMessage merges the content of a message into the table.
func (ma *Machine) mergeMessage(mg Message) {
	if mg.From.Addr == ma.self.Addr {
		return
	}
	ma.receiveState(mg.From)
	with := mg.From.DataCentre
	if dc, ok := ma.table.dcs[with]; ok {
		dc.lastHeard = ma.now
	}
	if mg.Joining {
		return
	}
	for _, mb := range mg.Members {
		ma.receiveState(mb)
	}
	ma.compareDigest(diffKey{with: with, about: with}, mg.Digest)
	ma.mergeDataCentreView(with, mg.OtherDataCentre)
	ma.savePullCursor(with, mg.NextPage)
}

func (ma *Machine) receiveState(mb Member) {
	if mb.Addr == ma.self.Addr {
		ma.checkOwnState(mb)
		return
	}
	ma.mergeState(mb)
}

func (ma *Machine) mergeDataCentreView(with string, dv DataCentreView) {
	if dv.DataCentre == "" {
		return
	}
	dc := ma.table.dataCentre(dv.DataCentre)
	if dv.SinceHeard >= 0 && dv.DataCentre != ma.self.DataCentre {
		dc.lastHeard = max(dc.lastHeard, ma.now-dv.SinceHeard)
	}
	ma.compareDigest(diffKey{with: with, about: dv.DataCentre}, dv.Digest)
}

// saveJoinProgress records how much of the data centre's table this VM has received.
func (ma *Machine) saveJoinProgress(mg Message) {
	if mg.From.DataCentre != ma.self.DataCentre || mg.Joining {
		return
	}
	ma.joinAnswered = true
	ma.joinCursor = mg.NextPage.After
	if mg.NextPage.After == "" {
		ma.joining = false
	}
}
