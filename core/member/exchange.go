package member

import (
	"time"
)

// purpose is why a message was sent.
type purpose uint8

const (
	purposeBeat purpose = iota
	purposeRetry
	purposeGreet
	purposeEager
	purposeRelay
	purposeHelp
	purposeAsk
)

// exchange is a message that an answer is waited for.
type exchange struct {
	purpose  purpose
	to       string
	deadline time.Duration
	// tag is the request that a purposeHelp answers.
	tag uint64
}

// send starts an exchange.
func (ma *Machine) send(to *record, pu purpose, tag uint64) {
	id := ma.open(exchange{purpose: pu, to: to.Addr, deadline: ma.now + ma.cfg.BeatTimeout, tag: tag})
	ma.do(Send{Exchange: id, To: to.VM, Message: ma.compose(to, pu == purposeRelay)})
}

func (ma *Machine) open(ex exchange) uint64 {
	ma.numbers++
	ma.exchanges[ma.numbers] = ex
	return ma.numbers
}

// expire gives up exchanges whose time is over.
func (ma *Machine) expire() {
	var late []uint64
	for id, ex := range ma.exchanges {
		if ma.now >= ex.deadline {
			late = append(late, id)
		}
	}
	// The order of a map must not show in what is sent.
	sortNumbers(late)
	for _, id := range late {
		ma.fail(id)
	}
}

func (ma *Machine) fail(id uint64) {
	ex, ok := ma.exchanges[id]
	if !ok {
		return
	}
	delete(ma.exchanges, id)
	switch ex.purpose {
	case purposeBeat:
		ma.doubt(ex.to)
	case purposeHelp:
		ma.do(Helped{Tag: ex.tag})
	case purposeRelay:
		ma.relayFailed(ex.to)
	}
}

func (ev Failed) apply(ma *Machine) {
	ma.fail(ev.Exchange)
}

func (ev Answered) apply(ma *Machine) {
	ex, ok := ma.exchanges[ev.Exchange]
	if !ok {
		// It came too late for its exchange; what it says is as good as any.
		ma.read(ev.Message)
		return
	}
	delete(ma.exchanges, ev.Exchange)
	ma.lastAnswer = ma.now
	ma.read(ev.Message)
	ma.trust(ex.to)
	switch ex.purpose {
	case purposeHelp:
		ma.do(Helped{Tag: ex.tag, Reached: true, Target: ev.Message.From})
	case purposeRelay:
		ma.relayAnswered(ex.to)
	}
	if ma.joining {
		ma.joined(ev.Message)
	}
}

func (ev Received) apply(ma *Machine) {
	mg := ev.Message
	ma.read(mg)
	to := ma.table.byAddr[mg.From.Addr]
	if to == nil {
		return
	}
	ma.do(Reply{Tag: ev.Tag, Message: ma.answer(to, mg)})
}

func (ev HelpAsked) apply(ma *Machine) {
	ma.hear(ev.Target)
	to, ok := ma.table.byAddr[ev.Target.Addr]
	if !ok {
		ma.do(Helped{Tag: ev.Tag})
		return
	}
	ma.send(to, purposeHelp, ev.Tag)
}

func (ev HelpDone) apply(ma *Machine) {
	ex, ok := ma.exchanges[ev.Exchange]
	if !ok {
		return
	}
	delete(ma.exchanges, ev.Exchange)
	ma.lastAnswer = ma.now
	if ev.Reached {
		ma.hear(ev.Target)
		ma.trust(ex.to)
	}
}

// read takes in what a message tells.
func (ma *Machine) read(mg Message) {
	if mg.From.Addr == ma.self.Addr {
		return
	}
	ma.hear(mg.From)
	with := mg.From.DataCentre
	if ar, ok := ma.table.areas[with]; ok {
		ar.heard = ma.now
	}
	if mg.Joining {
		return
	}
	for _, mb := range mg.Members {
		ma.hear(mb)
	}
	ma.compare(diffKey{with: with, about: with}, mg.Digest)
	ma.readLink(with, mg.Other)
	ma.turnPage(with, mg.Next)
}

func (ma *Machine) hear(mb Member) {
	if mb.Addr == ma.self.Addr {
		ma.hearOfSelf(mb)
		return
	}
	ma.learn(mb)
}

func (ma *Machine) readLink(with string, li Link) {
	if li.DataCentre == "" {
		return
	}
	ar := ma.table.area(li.DataCentre)
	if li.Silent >= 0 && li.DataCentre != ma.self.DataCentre {
		ar.heard = max(ar.heard, ma.now-li.Silent)
	}
	ma.compare(diffKey{with: with, about: li.DataCentre}, li.Digest)
}

// joined notes how far this VM has been told of its data centre.
func (ma *Machine) joined(mg Message) {
	if mg.From.DataCentre != ma.self.DataCentre || mg.Joining {
		return
	}
	ma.joinHeard = true
	ma.cursor = mg.Next.After
	if mg.Next.After == "" {
		ma.joining = false
	}
}
