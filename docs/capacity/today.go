package main

import (
	"laburnumvane/core/conns"
)

// upstreamKind is one kind of upstream in today's installations.
type upstreamKind struct {
	name             string
	services         int
	replicas         int
	limit            int
	vms, dataCentres int
}

// upstreamKinds returns the kinds of upstreams of today's two users.
func upstreamKinds() []upstreamKind {
	return []upstreamKind{
		{"Pettigrew: member-desk, renew", 25, 3, 30, 9, 3},
		{"Pettigrew: partner-ledger, promo", 15, 1, 100, 9, 3},
		{"Kalimba: enrol-desk, contrib-ledger", 25, 3, 25, 8, 4},
		{"Kalimba: member-portal, notice-mailer", 8, 1, 50, 8, 4},
	}
}

// todayTable returns the numbers of connections that a VM may open today, where each server is used
// from all data centres.
func todayTable() Table {
	tb := Table{
		Name: "today",
		Head: []string{"upstreams", "limit", "to a server of the own data centre", "to one of another", "of a VM in all"},
	}
	for _, sh := range upstreamKinds() {
		near, far := conns.Split(sh.limit, true)
		inCentre := float64(sh.vms) / float64(sh.dataCentres)
		nearEach := float64(near) / inCentre
		farEach := float64(far) / (float64(sh.vms) - inCentre)
		servers := float64(sh.services * sh.replicas)
		own := servers / float64(sh.dataCentres)
		tb.Rows = append(tb.Rows, []string{
			sh.name,
			formatWhole(float64(sh.limit)),
			formatNumber(nearEach),
			formatNumber(farEach),
			formatWhole(own*nearEach + (servers-own)*farEach),
		})
	}
	return tb
}
