package ticket_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"laburnumvane/core/ticket"
)

// fleet is three VMs that restart, and a record of what really ran.
type fleet struct {
	now          time.Duration
	vms          []*ticket.Table[string]
	incarnations uint64
	tickets      []string
	// runs counts, by ticket, the runs that were begun and not released.
	runs    map[string]int
	running []activeRun
}

type activeRun struct {
	vm          int
	incarnation uint64
	number      uint64
	ticket      string
}

func (fl *fleet) restart(vm int) {
	fl.incarnations++
	fl.vms[vm] = ticket.New[string](ticket.Config{
		Addr:        fmt.Sprint("vm", vm),
		Incarnation: fl.incarnations,
		Secret:      []byte(fmt.Sprint("secret ", fl.incarnations)),
		TTL:         ttl,
		Cap:         6,
		MaxBytes:    40,
	})
}

// present presents a ticket to a VM, which forwards it at most once.
func (fl *fleet) present(rt *rapid.T, vm int, token string, body uint64) {
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
		fl.running = append(fl.running, activeRun{vm: vm, number: vd.Number, ticket: token, incarnation: fl.incarnations})
	case ticket.VerdictFull:
		if fl.runs[token] > 0 {
			rt.Fatal("verdict full for a ticket that ran")
		}
	case ticket.VerdictAnswered:
		if vd.Answer != token {
			rt.Fatal("answer of another ticket")
		}
	case ticket.VerdictElsewhere:
		rt.Fatal("forwarded twice")
	}
}

// finish ends a run: answered, or released as not run. The result of a run whose VM has restarted
// since is lost.
func (fl *fleet) finish(i int, released bool, alive bool) {
	run := fl.running[i]
	fl.running = append(fl.running[:i], fl.running[i+1:]...)
	if !alive {
		return
	}
	if released {
		fl.runs[run.ticket]--
		fl.vms[run.vm].Release(run.number)
		return
	}
	fl.vms[run.vm].Finish(run.number, run.ticket, 10)
}

// Tickets are used repeatedly, on any VM, while VMs restart at the same address, time jumps, runs
// end late or never, and the table overflows. No ticket runs twice.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fl := &fleet{vms: make([]*ticket.Table[string], 3), runs: make(map[string]int)}
		born := make([]uint64, 3)
		for vm := range fl.vms {
			fl.restart(vm)
			born[vm] = fl.incarnations
		}
		for range rapid.IntRange(1, 150).Draw(rt, "steps") {
			vm := rapid.IntRange(0, 2).Draw(rt, "vm")
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 0, 1:
				fl.tickets = append(fl.tickets, fl.vms[vm].Issue(fl.now, "wash"))
			case 2, 3, 4, 5:
				if len(fl.tickets) > 0 {
					i := rapid.IntRange(0, len(fl.tickets)-1).Draw(rt, "ticket")
					fl.present(rt, vm, fl.tickets[i], uint64(rapid.IntRange(1, 2).Draw(rt, "body")))
				}
			case 6, 7:
				if len(fl.running) > 0 {
					i := rapid.IntRange(0, len(fl.running)-1).Draw(rt, "run")
					run := fl.running[i]
					fl.finish(i, rapid.Bool().Draw(rt, "released"), run.incarnation >= born[run.vm])
				}
			case 8:
				fl.now += time.Duration(rapid.IntRange(0, 40).Draw(rt, "jump")) * time.Second
			case 9:
				fl.restart(vm)
				born[vm] = fl.incarnations
			}
			if fl.vms[vm].Len() > 6 || fl.vms[vm].Bytes() > 40 {
				rt.Fatal("table exceeds its bounds")
			}
		}
	})
}

// A token with any byte changed is never accepted as a first use.
func TestAlteredToken(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tb := newTable("vm1", 1)
		token := []byte(tb.Issue(0, "wash"))
		i := rapid.IntRange(0, len(token)-1).Draw(rt, "byte")
		value := rapid.Byte().Draw(rt, "value")
		if token[i] == value {
			return
		}
		token[i] = value
		if vd := tb.Begin(0, string(token), "wash", 1); vd.Kind == ticket.VerdictRun {
			rt.Fatalf("byte %d changed to %q, and the token was accepted", i, value)
		}
	})
}

// Any text that a caller sends as a ticket is refused or names an issuer, and never runs, since
// only the table can sign tickets.
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
		case ticket.VerdictForged, ticket.VerdictEarlierProcess:
		case ticket.VerdictElsewhere:
			if !ok || is != vd.Issuer {
				t.Fatalf("verdict names issuer %v, IssuerOf returns %v", vd.Issuer, is)
			}
		case ticket.VerdictRun:
			if text != genuine {
				t.Fatal("a token that was never issued was accepted")
			}
		default:
			t.Fatalf("verdict %d", vd.Kind)
		}
		if vd.Kind != ticket.VerdictRun && tb.Len() != 0 {
			t.Fatal("a refused token takes memory in the table")
		}
	})
}
