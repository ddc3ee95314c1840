package spread

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// chaos is a fleet to which anything happens at any time.
type chaos struct {
	t       *rapid.T
	fl      *fleet
	backup  *fakeService
	changes int
}

func (ch *chaos) vm() *vm {
	return ch.fl.vms[rapid.IntRange(0, len(ch.fl.vms)-1).Draw(ch.t, "vm")]
}

// happening is one thing that chaos brings about.
type happening struct {
	name string
	do   func(ch *chaos)
}

func happenings() []happening {
	return []happening{
		{"change", (*chaos).change},
		{"quiet", (*chaos).quiet},
		{"down", func(ch *chaos) { ch.fl.sv.down = true }},
		{"up", func(ch *chaos) { ch.fl.sv.down = false }},
		{"past", func(ch *chaos) { ch.fl.sv.past = ch.fl.sv.copy() }},
		{"present", func(ch *chaos) { ch.fl.sv.past = nil }},
		{"silent", func(ch *chaos) { ch.fl.sv.silent = true }},
		{"heard", func(ch *chaos) { ch.fl.sv.silent = false }},
		{"slow", func(ch *chaos) { ch.fl.sv.slow = 10 * time.Second }},
		{"quick", func(ch *chaos) { ch.fl.sv.slow = 0 }},
		{"compact", func(ch *chaos) { ch.fl.sv.compact() }},
		{"backup", func(ch *chaos) { ch.backup = ch.fl.sv.copy() }},
		{"restore", (*chaos).restore},
		{"cut", (*chaos).cut},
		{"heal", func(ch *chaos) { ch.fl.cut = uncut }},
		{"pause", func(ch *chaos) { ch.vm().paused = true }},
		{"resume", func(ch *chaos) { ch.vm().resume() }},
		{"boot", func(ch *chaos) { ch.vm().boot() }},
		{"loss", func(ch *chaos) { ch.fl.link.Loss = rapid.Float64Range(0, 0.5).Draw(ch.t, "share") }},
	}
}

func (ch *chaos) step() {
	all := happenings()
	ha := all[rapid.IntRange(0, len(all)-1).Draw(ch.t, "what")]
	ch.t.Log(ha.name)
	ha.do(ch)
}

func (ch *chaos) change() {
	ch.changes++
	v := ch.vm()
	if !ch.fl.sv.down && !v.paused && !ch.fl.cut(v.self.DataCentre, "service") {
		ch.fl.change(v, "wash", fmt.Sprint("c", ch.changes), 10)
	}
}

func (ch *chaos) quiet() {
	ch.changes++
	revision := max(ch.fl.sv.held["wash"].Revision, ch.highest()) + 1
	ch.fl.sv.put(Update{Team: "wash", Revision: revision, ChangeID: fmt.Sprint("q", ch.changes)})
}

func (ch *chaos) restore() {
	if ch.backup != nil {
		ch.fl.sv.back(ch.backup)
	}
}

func (ch *chaos) cut() {
	dc := ch.vm().self.DataCentre
	ch.fl.cut = func(a, b string) bool { return (a == dc) != (b == dc) }
}

func (ch *chaos) highest() uint64 {
	highest := uint64(0)
	for _, v := range ch.fl.vms {
		highest = max(highest, v.force["wash"].Revision)
	}
	return highest
}

// heal ends all faults and gives the fleet time.
func (ch *chaos) heal() {
	fl := ch.fl
	fl.cut = uncut
	fl.link.Loss, fl.link.Jitter = 0, time.Millisecond
	fl.sv.down, fl.sv.past, fl.sv.silent, fl.sv.slow = false, nil, false, 0
	for _, v := range fl.vms {
		v.resume()
	}
	fl.run(12 * time.Minute)
}

func TestRevisionsOnlyRise(t *testing.T) {
	// Changes, outages, partitions, pauses, restarts, backups and lost and
	// overtaken messages in any order: the revision in force never goes down on
	// any VM, and once all is well every VM has the highest that any VM had,
	// and so has the service.
	rapid.Check(t, func(t *rapid.T) {
		fl := newFleet(rapid.Uint64().Draw(t, "seed"), 2, rapid.IntRange(1, 3).Draw(t, "each"))
		fl.link.Jitter = time.Duration(rapid.IntRange(1, 3000).Draw(t, "jitterMs")) * time.Millisecond
		ch := &chaos{t: t, fl: fl}
		fl.start()
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			ch.step()
			fl.run(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond)
		}
		highest := max(ch.highest(), fl.sv.held["wash"].Revision)
		ch.heal()
		if fell := fl.fell(); fell != "" {
			t.Fatal(fell)
		}
		for _, v := range fl.vms {
			if got := v.force["wash"].Revision; got < highest {
				t.Fatalf("%s has %d, want %d", v.self.Addr, got, highest)
			}
		}
		if got := fl.sv.held["wash"].Revision; got < highest {
			t.Fatalf("the service has %d, want %d", got, highest)
		}
	})
}
