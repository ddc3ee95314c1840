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

func (ch *chaos) step() {
	fl := ch.fl
	switch rapid.SampledFrom([]string{"change", "quiet", "down", "up", "past", "present", "silent", "heard", "slow", "quick", "compact", "backup", "restore", "cut", "heal", "pause", "resume", "boot", "loss"}).Draw(ch.t, "what") {
	case "change":
		ch.changes++
		if v := ch.vm(); !fl.sv.down && !v.paused && !fl.cut(v.self.DataCentre, "service") {
			fl.change(v, "wash", fmt.Sprint("c", ch.changes), 10)
		}
	case "quiet":
		ch.changes++
		fl.sv.put(Update{Team: "wash", Revision: max(fl.sv.held["wash"].Revision, ch.highest()) + 1, ChangeID: fmt.Sprint("q", ch.changes)})
	case "down":
		fl.sv.down = true
	case "up":
		fl.sv.down = false
	case "past":
		fl.sv.past = fl.sv.copy()
	case "present":
		fl.sv.past = nil
	case "silent":
		fl.sv.silent = true
	case "heard":
		fl.sv.silent = false
	case "slow":
		fl.sv.slow = 10 * time.Second
	case "quick":
		fl.sv.slow = 0
	case "compact":
		fl.sv.compact()
	case "backup":
		ch.backup = fl.sv.copy()
	case "restore":
		if ch.backup != nil {
			fl.sv.back(ch.backup)
		}
	case "cut":
		dc := ch.vm().self.DataCentre
		fl.cut = func(a, b string) bool { return (a == dc) != (b == dc) }
	case "heal":
		fl.cut = func(a, b string) bool { return false }
	case "pause":
		ch.vm().paused = true
	case "resume":
		ch.vm().resume()
	case "boot":
		ch.vm().boot()
	case "loss":
		fl.loss = rapid.Float64Range(0, 0.5).Draw(ch.t, "share")
	}
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
	fl.cut = func(a, b string) bool { return false }
	fl.loss, fl.jitter = 0, time.Millisecond
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
		fl.jitter = time.Duration(rapid.IntRange(1, 3000).Draw(t, "jitterMs")) * time.Millisecond
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
