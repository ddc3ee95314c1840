package node_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"laburnumvane/core/member"
	"laburnumvane/io/inner"
)

const (
	// demandEvery is the time between two demands of a VM.
	demandEvery = 2 * time.Second
	// tierFields are what a demand of a tier has beside: the cut and the least
	// sum announced, each with its tag; and a sum the name of its group.
	tierFields = 2 + 9
	sumFields  = 10
)

// demandBytes is the size of a demand as it rides on a beat.
func demandBytes(vms int) int {
	de := &inner.Demand{
		Team: "wash", Rate: 123.4, Share: 0.0123, Held: true, Sequence: 123_456,
		Vm: &inner.VM{Addr: fmt.Sprintf("10.20.%d.17:7001", vms%250), Incarnation: 1_764_700_000_000_000},
	}
	const tagAndLength = 2
	return proto.Size(de) + tagAndLength
}

// BenchmarkDemandBytes gives what the demands of one team cost each VM in bytes a
// second, sent and received alike: `once` if each reached it by one message, the
// least there can be; `spread` as the queue of the beats repeats them, and as much
// as the beats' room lets through. flat: all hear all. centres: demands within the
// data centre, sums between them. cells: the same within groups of the square root
// of the fleet, for which bytes are fewest. It computes; the time says nothing.
func BenchmarkDemandBytes(b *testing.B) {
	for _, fl := range []struct{ vms, centres int }{{9, 3}, {100, 3}, {1000, 13}, {4300, 13}} {
		cells := int(math.Round(math.Sqrt(float64(fl.vms))))
		for _, way := range []struct {
			name   string
			groups int
		}{{"flat", 1}, {"centres", fl.centres}, {"cells", cells}} {
			b.Run(fmt.Sprintf("vms=%d/%s", fl.vms, way.name), func(b *testing.B) {
				once, spread := 0.0, 0.0
				for b.Loop() {
					once, spread = bytesASecond(fl.vms, way.groups)
				}
				b.ReportMetric(once, "once_B/s")
				b.ReportMetric(spread, "spread_B/s")
			})
		}
	}
}

func bytesASecond(vms, groups int) (once, spread float64) {
	size := demandBytes(vms)
	perSecond := 1 / demandEvery.Seconds()
	if groups == 1 {
		once = float64((vms-1)*size) * perSecond
		return once, once * float64(member.Retransmits(vms))
	}
	in := (vms + groups - 1) / groups
	inside := float64((in-1)*(size+tierFields)) * perSecond
	sums := float64((groups-1)*(size+sumFields)) * perSecond
	return inside + sums, inside*float64(member.Retransmits(in)) + sums*float64(member.Retransmits(vms))
}
