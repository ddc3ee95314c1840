package spread

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// chaos is a fleet with random faults and changes.
type chaos struct {
	t       *rapid.T
	fl      *fleet
	backup  *fakeService
	changes int
}

func (ch *chaos) vm() *vm {
	return ch.fl.vms[rapid.IntRange(0, len(ch.fl.vms)-1).Draw(ch.t, "vm")]
}

// chaosEvent is one fault, repair or change.
type chaosEvent struct {
	name  string
	apply func(ch *chaos)
}

func chaosEvents() []chaosEvent {
	return []chaosEvent{
		{"change", (*chaos).change},
		{"changeInServiceOnly", (*chaos).changeInServiceOnly},
		{"down", func(ch *chaos) { ch.fl.service.down = true }},
		{"up", func(ch *chaos) { ch.fl.service.down = false }},
		{"stale", func(ch *chaos) { ch.fl.service.stale = ch.fl.service.copy() }},
		{"current", func(ch *chaos) { ch.fl.service.stale = nil }},
		{"watchesHang", func(ch *chaos) { ch.fl.service.watchesHang = true }},
		{"watchesAnswer", func(ch *chaos) { ch.fl.service.watchesHang = false }},
		{"slow", func(ch *chaos) { ch.fl.service.slow = 10 * time.Second }},
		{"fast", func(ch *chaos) { ch.fl.service.slow = 0 }},
		{"compact", func(ch *chaos) { ch.fl.service.compact() }},
		{"backup", func(ch *chaos) { ch.backup = ch.fl.service.copy() }},
		{"restore", (*chaos).restore},
		{"cut", (*chaos).cut},
		{"heal", func(ch *chaos) { ch.fl.cut = noCut }},
		{"pause", func(ch *chaos) { ch.vm().paused = true }},
		{"resume", func(ch *chaos) { ch.vm().resume() }},
		{"boot", func(ch *chaos) { ch.vm().boot() }},
		{"loss", func(ch *chaos) { ch.fl.link.Loss = rapid.Float64Range(0, 0.5).Draw(ch.t, "share") }},
	}
}

func (ch *chaos) step() {
	all := chaosEvents()
	ha := all[rapid.IntRange(0, len(all)-1).Draw(ch.t, "what")]
	ch.t.Log(ha.name)
	ha.apply(ch)
}

func (ch *chaos) change() {
	ch.changes++
	v := ch.vm()
	if !ch.fl.service.down && !v.paused && !ch.fl.cut(v.self.DataCentre, "service") {
		ch.fl.change(v, "wash", fmt.Sprint("c", ch.changes), 10)
	}
}

func (ch *chaos) changeInServiceOnly() {
	ch.changes++
	revision := max(ch.fl.service.held["wash"].Revision, ch.highest()) + 1
	ch.fl.service.put(Update{Team: "wash", Revision: revision, ChangeID: fmt.Sprint("q", ch.changes)})
}

func (ch *chaos) restore() {
	if ch.backup != nil {
		ch.fl.service.restoreBackup(ch.backup)
	}
}

func (ch *chaos) cut() {
	dc := ch.vm().self.DataCentre
	ch.fl.cut = func(a, b string) bool { return (a == dc) != (b == dc) }
}

func (ch *chaos) highest() uint64 {
	highest := uint64(0)
	for _, v := range ch.fl.vms {
		highest = max(highest, v.inForce["wash"].Revision)
	}
	return highest
}

// heal ends all faults and runs the fleet until it has converged.
func (ch *chaos) heal() {
	fl := ch.fl
	fl.cut = noCut
	fl.link.Loss, fl.link.Jitter = 0, time.Millisecond
	fl.service.down, fl.service.stale, fl.service.watchesHang, fl.service.slow = false, nil, false, 0
	for _, v := range fl.vms {
		v.resume()
	}
	fl.run(12 * time.Minute)
}

func TestRevisionsNeverDecrease(t *testing.T) {
	// Changes, outages, partitions, pauses, restarts, backups, and lost and overtaken messages
	// happen in any order. The revision in force must never decrease on any VM, and after all
	// faults have ended, every VM and the service must have the highest revision that any VM
	// had.
	rapid.Check(t, func(t *rapid.T) {
		fl := newFleet(rapid.Uint64().Draw(t, "seed"), 2, rapid.IntRange(1, 3).Draw(t, "each"))
		fl.link.Jitter = time.Duration(rapid.IntRange(1, 3000).Draw(t, "jitterMs")) * time.Millisecond
		ch := &chaos{t: t, fl: fl}
		fl.start()
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			ch.step()
			fl.run(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond)
		}
		highest := max(ch.highest(), fl.service.held["wash"].Revision)
		ch.heal()
		if fell := fl.regression(); fell != "" {
			t.Fatal(fell)
		}
		for _, v := range fl.vms {
			if got := v.inForce["wash"].Revision; got < highest {
				t.Fatalf("%s has %d, want %d", v.self.Addr, got, highest)
			}
		}
		if got := fl.service.held["wash"].Revision; got < highest {
			t.Fatalf("the service has %d, want %d", got, highest)
		}
	})
}
