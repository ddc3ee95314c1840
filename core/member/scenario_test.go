package member_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"laburnumvane/core/member"
	"laburnumvane/internal/golden"
)

// scenarios are recorded in golden files: every action of one VM of four over some seconds.
var scenarios = []struct {
	name string
	do   func(sim *simulation, prs []*proc)
}{
	{"join", func(sim *simulation, _ []*proc) { sim.run(4*time.Second, nil) }},
	{"silentDeath", func(sim *simulation, prs []*proc) {
		sim.settle()
		sim.run(4*time.Second, nil)
		prs[1].dead = true
		sim.run(4*time.Second, nil)
	}},
	{"pauseOfAMinute", func(sim *simulation, prs []*proc) {
		sim.settle()
		sim.run(4*time.Second, nil)
		sim.pause(prs[0], time.Minute)
		sim.run(3*time.Second, nil)
	}},
	{"plannedStop", func(sim *simulation, prs []*proc) {
		sim.settle()
		sim.run(4*time.Second, nil)
		sim.step(prs[0], member.Leave{})
		sim.run(2*time.Second, nil)
		sim.step(prs[0], member.Quit{})
	}},
}

func TestScenarios(t *testing.T) {
	for _, tt := range scenarios {
		t.Run(tt.name, func(t *testing.T) {
			sim := newSimulation(1, 0)
			prs := sim.fleet(t, 4, 1)
			var out strings.Builder
			sim.onAction = func(pr *proc, ac member.Action) {
				if pr == prs[0] {
					fmt.Fprintf(&out, "%8.3fs %s\n", sim.Now().Seconds(), actionText(ac))
				}
			}
			tt.do(sim, prs)
			golden.Check(t, tt.name, out.String())
		})
	}
}

func actionText(ac member.Action) string {
	switch ac := ac.(type) {
	case member.Send:
		return fmt.Sprintf("send #%d to %s: %s", ac.Exchange, ac.To.Addr, messageText(ac.Message))
	case member.Ask:
		return fmt.Sprintf("ask #%d %s to try %s", ac.Exchange, ac.Helper.Addr, memberText(ac.Target))
	case member.Reply:
		return "reply " + messageText(ac.Message)
	case member.HelpReply:
		return fmt.Sprintf("helped, reached %v: %s", ac.Reached, memberText(ac.Target))
	case member.Changed:
		return fmt.Sprintf("changed %s, was %s", memberText(ac.Member), ac.Before)
	case member.Resumed:
		return fmt.Sprintf("woke after %v as %d", ac.Pause, ac.Incarnation)
	}
	return fmt.Sprintf("%T", ac)
}

func messageText(mg member.Message) string {
	text := memberText(mg.From)
	if mg.Joining {
		text += " joining"
	}
	if mg.WantPage.DataCentre != "" {
		text += " wants after " + fmt.Sprintf("%q", mg.WantPage.After)
	}
	for _, mb := range mg.Members {
		text += " +" + memberText(mb)
	}
	return text
}

func memberText(mb member.Member) string {
	return fmt.Sprintf("%s/%d %s %d", mb.Addr, mb.Incarnation, mb.State(), mb.Count)
}
