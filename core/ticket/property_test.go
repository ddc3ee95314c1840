package ticket_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"laburnumvane/core/ticket"
)

// fleet is three VMs that come and go, and what has really run.
type fleet struct {
	now     time.Duration
	vms     []*ticket.Table[string]
	lives   uint64
	tickets []string
	// runs counts, for each ticket, the runs begun and not released.
	runs    map[string]int
	running []running
}

type running struct {
	vm     int
	life   uint64
	number uint64
	ticket string
}

func (fl *fleet) boot(vm int) {
	fl.lives++
	fl.vms[vm] = ticket.New[string](ticket.Config{
		Addr:        fmt.Sprint("vm", vm),
		Incarnation: fl.lives,
		Secret:      []byte(fmt.Sprint("secret ", fl.lives)),
		TTL:         ttl,
		Cap:         6,
		MaxBytes:    40,
	})
}

// use presents a ticket to a VM, which forwards once.
func (fl *fleet) use(rt *rapid.T, vm int, token string, body uint64) {
	vd := fl.vms[vm].Begin(fl.now, token, "wash", body)
	if vd.Kind == ticket.VerdictElsewhere {
		var at int
		if _, err := fmt.Sscanf(vd.Issuer.Addr, "vm%d", &at); err != nil {
			rt.Fatalf("issuer %q", vd.Issuer.Addr)
		}
		vm = at
		vd = fl.vms[vm].Begin(fl.now, token, "wash", body)
	}
	switch vd.Kind {
	case ticket.VerdictRun:
		fl.runs[token]++
		if fl.runs[token] > 1 {
			rt.Fatalf("ticket ran %d times", fl.runs[token])
		}
		fl.running = append(fl.running, running{vm: vm, number: vd.Number, ticket: token, life: fl.lives})
	case ticket.VerdictFull:
		if fl.runs[token] > 0 {
			rt.Fatal("called full, which promises that it never ran")
		}
	case ticket.VerdictAnswered:
		if vd.Answer != token {
			rt.Fatal("another ticket's answer")
		}
	case ticket.VerdictElsewhere:
		rt.Fatal("forwarded twice")
	}
}

// end lets a run finish: answered, or released as certainly not run. A run whose
// VM has died since finishes into the memory of nobody.
func (fl *fleet) end(i int, released bool, alive bool) {
	rn := fl.running[i]
	fl.running = append(fl.running[:i], fl.running[i+1:]...)
	if !alive {
		return
	}
	if released {
		fl.runs[rn.ticket]--
		fl.vms[rn.vm].Release(rn.number)
		return
	}
	fl.vms[rn.vm].Finish(rn.number, rn.ticket, 10)
}

// Tickets are used again and again, on any VM, while VMs die and come back at
// the same address, time jumps, runs end late or not at all, and the table
// overflows. No ticket ever runs twice.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fl := &fleet{vms: make([]*ticket.Table[string], 3), runs: make(map[string]int)}
		born := make([]uint64, 3)
		for vm := range fl.vms {
			fl.boot(vm)
			born[vm] = fl.lives
		}
		for range rapid.IntRange(1, 150).Draw(rt, "steps") {
			vm := rapid.IntRange(0, 2).Draw(rt, "vm")
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 0, 1:
				fl.tickets = append(fl.tickets, fl.vms[vm].Issue(fl.now, "wash"))
			case 2, 3, 4, 5:
				if len(fl.tickets) > 0 {
					i := rapid.IntRange(0, len(fl.tickets)-1).Draw(rt, "ticket")
					fl.use(rt, vm, fl.tickets[i], uint64(rapid.IntRange(1, 2).Draw(rt, "body")))
				}
			case 6, 7:
				if len(fl.running) > 0 {
					i := rapid.IntRange(0, len(fl.running)-1).Draw(rt, "run")
					rn := fl.running[i]
					fl.end(i, rapid.Bool().Draw(rt, "released"), rn.life >= born[rn.vm])
				}
			case 8:
				fl.now += time.Duration(rapid.IntRange(0, 40).Draw(rt, "jump")) * time.Second
			case 9:
				fl.boot(vm)
				born[vm] = fl.lives
			}
			if fl.vms[vm].Len() > 6 || fl.vms[vm].Bytes() > 40 {
				rt.Fatal("memory out of bounds")
			}
		}
	})
}

// A token is altered in any byte: it is never taken for a first use.
func TestAlteredToken(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tb := newTable("vm1", 1)
		token := []byte(tb.Issue(0, "wash"))
		i := rapid.IntRange(0, len(token)-1).Draw(rt, "byte")
		to := rapid.Byte().Draw(rt, "value")
		if token[i] == to {
			return
		}
		token[i] = to
		if vd := tb.Begin(0, string(token), "wash", 1); vd.Kind == ticket.VerdictRun {
			rt.Fatalf("byte %d changed to %q and it would run", i, to)
		}
	})
}

// Whatever a caller sends for a ticket, it is refused or names an issuer, and
// never runs: nobody but the table can make one.
func FuzzToken(f *testing.F) {
	genuine := newTable("vm1", 1).Issue(0, "wash")
	f.Add(genuine[:len(genuine)-2])
	f.Add("")
	f.Add("e30")
	f.Add("eyJhIjoidm0xIiwiaSI6MSwibiI6MSwiZSI6NjAwMDAwMDAwMDAsInQiOiJ3YXNoIn0")
	f.Add("eyJhIjoidm0yIn0")
	f.Add("bnVsbA")
	f.Fuzz(func(t *testing.T, text string) {
		tb := newTable("vm1", 1)
		vd := tb.Begin(0, text, "wash", 1)
		is, ok := ticket.IssuerOf(text)
		switch vd.Kind {
		case ticket.VerdictForged, ticket.VerdictVoid:
		case ticket.VerdictElsewhere:
			if !ok || is != vd.Issuer {
				t.Fatalf("issuer %v, read as %v", vd.Issuer, is)
			}
		case ticket.VerdictRun:
			if text != genuine {
				t.Fatal("a token that was never issued would run")
			}
		default:
			t.Fatalf("verdict %d", vd.Kind)
		}
		if vd.Kind != ticket.VerdictRun && tb.Len() != 0 {
			t.Fatal("a refused token takes memory")
		}
	})
}
