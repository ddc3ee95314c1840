package spread_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumvane/core/rank"
	"laburnumvane/core/spread"
)

// Example shows a VM that receives a change from a peer and then an older one.
func Example() {
	ma := spread.New(spread.Config{
		Self:          rank.VM{Addr: "10.0.0.1:7703", DataCentre: "east"},
		Rand:          rand.New(rand.NewPCG(1, 1)),
		CheckReadable: func(spread.Update) error { return nil },
	})
	peer := rank.VM{Addr: "10.0.0.2:7703", DataCentre: "east"}
	for i, revision := range []uint64{7, 6, 8} {
		up := spread.Update{Team: "wash", Revision: revision, ChangeID: fmt.Sprint("c", revision)}
		now := time.Duration(i) * time.Second
		for _, ac := range ma.Step(now, spread.Pushed{From: peer, Updates: []spread.Update{up}}) {
			if ap, ok := ac.(spread.Apply); ok {
				fmt.Println("in force:", ap.Update.Team, ap.Update.Revision)
			}
		}
	}
	// Output:
	// in force: wash 7
	// in force: wash 8
}
