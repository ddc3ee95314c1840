package contr_test

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"laburnumvane/core/team"
	"laburnumvane/io/contr"
	"laburnumvane/io/emul"
	"laburnumvane/io/peer"
	"laburnumvane/io/site"
)

// startSite starts two VMs with upstream servers for all shards.
func startSite(t *testing.T) *site.Site {
	t.Helper()
	is := is.New(t)
	rg, err := emul.SampleRegister("members", 1, 200)
	is.NoErr(err)
	st, err := site.Start(site.Config{
		Team: "wash", VMs: 2, DataCentres: []string{"east", "west"}, Region: "home",
		Register: rg, Services: 4, Slots: 3, Connections: 30,
		Searches: map[string]team.Search{
			"kiosk":   {Class: team.ClassUrgent, HardDeadlineMs: 20_000, HitLimit: 5, Retry: team.Retry{Budget: 0.1, PerShard: 2}},
			"renewal": {Class: team.ClassInteractive, HardDeadlineMs: 20_000, NeverRepeat: true, HitLimit: 5},
		},
		Log: &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}},
	})
	is.NoErr(err)
	t.Cleanup(st.Close)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	is.NoErr(st.WaitReady(ctx))
	return st
}

func TestCallerListener(t *testing.T) {
	st := startSite(t)
	contr.Callers(t, func(*testing.T) contr.CallerListener {
		return contr.CallerListener{
			Addr: st.Nodes()[0].Addrs().Caller, Team: "wash", Search: "kiosk", Once: "renewal",
			Query: json.RawMessage(`{"member":"m000007"}`), OtherQuery: json.RawMessage(`{"member":"m000008"}`),
			Runs: st.Fleet().Runs,
		}
	})
}

func TestOperatorListener(t *testing.T) {
	st := startSite(t)
	contr.Operators(t, func(*testing.T) contr.OperatorListener {
		return contr.OperatorListener{Addr: st.Nodes()[1].Addrs().Operator, Team: "wash", Edit: editLimit}
	})
}

// editLimit raises a search's limit of hits by one.
func editLimit(t *testing.T, raw json.RawMessage) json.RawMessage {
	t.Helper()
	is := is.New(t)
	doc, err := team.Parse("wash", raw)
	is.NoErr(err)
	kiosk := doc.Searches["kiosk"]
	kiosk.HitLimit++
	doc.Searches["kiosk"] = kiosk
	out, err := json.Marshal(doc)
	is.NoErr(err)
	return out
}

func TestPeerProtocol(t *testing.T) {
	st := startSite(t)
	contr.Peer(t, func(t *testing.T) contr.PeerVM {
		cl := peer.NewClient(peer.ClientConfig{Timeout: time.Second})
		t.Cleanup(cl.Close)
		addr := st.Nodes()[0].Addrs().Inner
		return contr.PeerVM{Addr: addr, Client: cl.To(addr), Team: "wash"}
	})
}
