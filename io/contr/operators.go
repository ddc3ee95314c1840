package contr

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"laburnumvane/io/wire"
)

// OperatorListener is a VM's listener for operators; one of several VMs with one
// configuration.
type OperatorListener struct {
	Addr string
	Team string
	// Token is sent as a bearer token; empty where none is needed.
	Token string
	// Edit makes another valid document of one.
	Edit func(t *testing.T, doc json.RawMessage) json.RawMessage
}

func (op OperatorListener) url(route string) string {
	return "http://" + op.Addr + strings.NewReplacer(":team", op.Team).Replace(route)
}

func (op OperatorListener) header(ifMatch string) http.Header {
	hd := http.Header{}
	if op.Token != "" {
		hd.Set("Authorization", "Bearer "+op.Token)
	}
	if ifMatch != "" {
		hd.Set("If-Match", ifMatch)
	}
	return hd
}

func (op OperatorListener) get(t *testing.T, route string) reply {
	t.Helper()
	return send(t, http.MethodGet, op.url(route), op.header(""), nil)
}

func (op OperatorListener) config(t *testing.T) wire.ConfigReply {
	t.Helper()
	rp := op.get(t, wire.RouteConfig)
	is := is.New(t)
	is.Equal(rp.status, http.StatusOK)
	cr := as[wire.ConfigReply](t, rp)
	is.Equal(rp.header.Get("ETag"), tagOf(cr.Revision))
	return cr
}

func (op OperatorListener) put(t *testing.T, query, ifMatch string, doc json.RawMessage) reply {
	t.Helper()
	return send(t, http.MethodPut, op.url(wire.RouteConfig)+query, op.header(ifMatch), string(doc))
}

func tagOf(revision uint64) string {
	return strconv.Quote(strconv.FormatUint(revision, 10))
}

// Operators holds a listener to what operators rely on: an accepted change is
// in force and in the history, and none is overwritten unseen.
func Operators(t *testing.T, start func(t *testing.T) OperatorListener) {
	t.Helper()
	run(t, start, []clause[OperatorListener]{
		{"an accepted change is in force and in the history", opAccept},
		{"a change made from an older revision is shown the other", opConflict},
		{"a dry run changes nothing", opDryRun},
		{"a change that names no revision is refused", opNoRevision},
		{"a faulty document is refused and changes nothing", opInvalid},
		{"of two changes from one revision one is accepted", opRace},
		{"a team without a document is not found", func(t *testing.T, op OperatorListener) {
			op.Team = "no-such-team"
			is.New(t).Equal(op.get(t, wire.RouteConfig).status, http.StatusNotFound)
		}},
		{"status and metrics can be read", opStatus},
		{"the log level can be changed", opLogLevel},
	})
}

func opAccept(t *testing.T, op OperatorListener) {
	is := is.New(t)
	before := op.config(t)
	rp := op.put(t, "?id=contract-accept", tagOf(before.Revision), op.Edit(t, before.Document))
	is.Equal(rp.status, http.StatusOK)
	cr := as[wire.ChangeReply](t, rp)
	is.Equal(cr.Result, wire.ChangeAccepted)
	is.Equal(cr.ChangeID, "contract-accept")
	is.True(cr.Revision > before.Revision)
	op.awaitInForce(t, "contract-accept")
	is.True(op.config(t).Revision >= cr.Revision)
	hr := as[wire.HistoryReply](t, op.get(t, wire.RouteHistory))
	is.Equal(hr.Entries[0].ChangeID, "contract-accept") // newest first
	is.Equal(hr.Entries[0].Revision, cr.Revision)
}

// awaitInForce returns when every VM has the change.
func (op OperatorListener) awaitInForce(t *testing.T, id string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	for {
		st := as[wire.ChangeStatus](t, op.get(t, strings.Replace(wire.RouteChange, ":id", id, 1)))
		everywhere := st.Known && len(st.VMs) > 0
		for _, vm := range st.VMs {
			everywhere = everywhere && vm.InForce
		}
		if everywhere {
			return
		}
		select {
		case <-ctx.Done():
			t.Fatalf("change %s is not in force everywhere: %+v", id, st)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func opConflict(t *testing.T, op OperatorListener) {
	is := is.New(t)
	seen := op.config(t)
	mine := op.Edit(t, seen.Document)
	is.Equal(op.put(t, "?id=contract-first", tagOf(seen.Revision), mine).status, http.StatusOK)
	rp := op.put(t, "?id=contract-second", tagOf(seen.Revision), op.Edit(t, mine))
	is.Equal(rp.status, http.StatusPreconditionFailed)
	cr := as[wire.ChangeReply](t, rp)
	is.Equal(cr.Result, wire.ChangeConflict)
	is.True(cr.Current != nil)
	is.Equal(cr.Current.ChangeID, "contract-first")
	op.awaitInForce(t, "contract-first")
}

func opDryRun(t *testing.T, op OperatorListener) {
	is := is.New(t)
	before := op.config(t)
	rp := op.put(t, "?dryRun=true", tagOf(before.Revision), op.Edit(t, before.Document))
	is.Equal(rp.status, http.StatusOK)
	is.Equal(as[wire.ChangeReply](t, rp).Result, wire.ChangeDryRun)
	hr := as[wire.HistoryReply](t, op.get(t, wire.RouteHistory))
	is.Equal(hr.Entries[0].Revision, before.Revision)
}

func opNoRevision(t *testing.T, op OperatorListener) {
	is := is.New(t)
	before := op.config(t)
	rp := op.put(t, "", "", op.Edit(t, before.Document))
	is.Equal(rp.status, http.StatusPreconditionRequired)
	is.Equal(as[wire.HistoryReply](t, op.get(t, wire.RouteHistory)).Entries[0].Revision, before.Revision)
}

func opInvalid(t *testing.T, op OperatorListener) {
	before := op.config(t)
	for _, doc := range []string{`{`, `[]`, `{}`, `{"colour":"red"}`, `null`} {
		is := is.New(t)
		rp := op.put(t, "", tagOf(before.Revision), json.RawMessage(doc))
		is.Equal(rp.status, http.StatusBadRequest)
		is.True(as[wire.ErrorReply](t, rp).Error != "")
	}
	is.New(t).Equal(as[wire.HistoryReply](t, op.get(t, wire.RouteHistory)).Entries[0].Revision, before.Revision)
}

func opRace(t *testing.T, op OperatorListener) {
	is := is.New(t)
	seen := op.config(t)
	one, two := op.Edit(t, seen.Document), op.Edit(t, op.Edit(t, seen.Document))
	replies := make(chan reply, 2)
	for id, doc := range map[string]json.RawMessage{"contract-one": one, "contract-two": two} {
		go func() { replies <- op.put(t, "?id="+id, tagOf(seen.Revision), doc) }()
	}
	accepted := ""
	for range 2 {
		rp := <-replies
		cr := as[wire.ChangeReply](t, rp)
		if cr.Result == wire.ChangeAccepted {
			is.Equal(accepted, "") // both were told that theirs is accepted
			accepted = cr.ChangeID
			continue
		}
		is.Equal(rp.status, http.StatusPreconditionFailed)
	}
	is.True(accepted != "")
	op.awaitInForce(t, accepted)
}

func opStatus(t *testing.T, op OperatorListener) {
	is := is.New(t)
	st := as[wire.Status](t, op.get(t, wire.RouteStatus))
	is.True(st.VM != "" && st.DataCentre != "" && st.Incarnation != 0)
	is.Equal(st.Phase, "serving")
	is.True(len(st.Teams) > 0 && len(st.Upstreams) > 0)
	mt := as[map[string]float64](t, op.get(t, wire.RouteMetrics))
	_, ok := mt["outcome.complete"]
	is.True(ok)
}

func opLogLevel(t *testing.T, op OperatorListener) {
	is := is.New(t)
	for level, status := range map[string]int{"error": http.StatusOK, "loud": http.StatusBadRequest} {
		rp := send(t, http.MethodPut, op.url(wire.RouteLog), op.header(""), `{"level":"`+level+`"}`)
		is.Equal(rp.status, status)
	}
}
