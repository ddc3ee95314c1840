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

// OperatorListener is a VM's listener for operators under test. The VM may be one of several that
// share a configuration.
type OperatorListener struct {
	Addr string
	Team string
	// Token is sent as a bearer token unless it is empty.
	Token string
	// Edit returns a different valid document made from a valid one.
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
	cr := decodeBody[wire.ConfigReply](t, rp)
	is.Equal(rp.header.Get("ETag"), etagOf(cr.Revision))
	return cr
}

func (op OperatorListener) put(t *testing.T, query, ifMatch string, doc json.RawMessage) reply {
	t.Helper()
	return send(t, http.MethodPut, op.url(wire.RouteConfig)+query, op.header(ifMatch), string(doc))
}

func etagOf(revision uint64) string {
	return strconv.Quote(strconv.FormatUint(revision, 10))
}

// Operators checks what operators rely on: an accepted change comes into force and is in the
// history, and no change overwrites another that its author has not seen.
func Operators(t *testing.T, start func(t *testing.T) OperatorListener) {
	t.Helper()
	runClauses(t, start, []clause[OperatorListener]{
		{"an accepted change is in force and in the history", opAccept},
		{"a change from an older revision gets a conflict with the current change", opConflict},
		{"a dry run changes nothing", opDryRun},
		{"a change without an expected revision is refused", opNoRevision},
		{"an invalid document is refused and changes nothing", opInvalid},
		{"one of two concurrent changes is accepted", opRace},
		{"a team without a document is not found", func(t *testing.T, op OperatorListener) {
			op.Team = "no-such-team"
			is.New(t).Equal(op.get(t, wire.RouteConfig).status, http.StatusNotFound)
		}},
		{"status and metrics are readable", opStatus},
		{"the log level is changeable", opLogLevel},
	})
}

func opAccept(t *testing.T, op OperatorListener) {
	is := is.New(t)
	before := op.config(t)
	rp := op.put(t, "?id=contract-accept", etagOf(before.Revision), op.Edit(t, before.Document))
	is.Equal(rp.status, http.StatusOK)
	cr := decodeBody[wire.ChangeReply](t, rp)
	is.Equal(cr.Result, wire.ChangeAccepted)
	is.Equal(cr.ChangeID, "contract-accept")
	is.True(cr.Revision > before.Revision)
	op.awaitInForce(t, "contract-accept")
	is.True(op.config(t).Revision >= cr.Revision)
	hr := decodeBody[wire.HistoryReply](t, op.get(t, wire.RouteHistory))
	is.Equal(hr.Entries[0].ChangeID, "contract-accept") // newest first
	is.Equal(hr.Entries[0].Revision, cr.Revision)
}

// awaitInForce waits until the change is in force on every VM.
func (op OperatorListener) awaitInForce(t *testing.T, id string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	for {
		st := decodeBody[wire.ChangeStatus](t, op.get(t, strings.Replace(wire.RouteChange, ":id", id, 1)))
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
	edited := op.Edit(t, seen.Document)
	is.Equal(op.put(t, "?id=contract-first", etagOf(seen.Revision), edited).status, http.StatusOK)
	rp := op.put(t, "?id=contract-second", etagOf(seen.Revision), op.Edit(t, edited))
	is.Equal(rp.status, http.StatusPreconditionFailed)
	cr := decodeBody[wire.ChangeReply](t, rp)
	is.Equal(cr.Result, wire.ChangeConflict)
	is.True(cr.Current != nil)
	is.Equal(cr.Current.ChangeID, "contract-first")
	op.awaitInForce(t, "contract-first")
}

func opDryRun(t *testing.T, op OperatorListener) {
	is := is.New(t)
	before := op.config(t)
	rp := op.put(t, "?dryRun=true", etagOf(before.Revision), op.Edit(t, before.Document))
	is.Equal(rp.status, http.StatusOK)
	is.Equal(decodeBody[wire.ChangeReply](t, rp).Result, wire.ChangeDryRun)
	hr := decodeBody[wire.HistoryReply](t, op.get(t, wire.RouteHistory))
	is.Equal(hr.Entries[0].Revision, before.Revision)
}

func opNoRevision(t *testing.T, op OperatorListener) {
	is := is.New(t)
	before := op.config(t)
	rp := op.put(t, "", "", op.Edit(t, before.Document))
	is.Equal(rp.status, http.StatusPreconditionRequired)
	is.Equal(decodeBody[wire.HistoryReply](t, op.get(t, wire.RouteHistory)).Entries[0].Revision, before.Revision)
}

func opInvalid(t *testing.T, op OperatorListener) {
	before := op.config(t)
	for _, doc := range []string{`{`, `[]`, `{}`, `{"colour":"red"}`, `null`} {
		is := is.New(t)
		rp := op.put(t, "", etagOf(before.Revision), json.RawMessage(doc))
		is.Equal(rp.status, http.StatusBadRequest)
		is.True(decodeBody[wire.ErrorReply](t, rp).Error != "")
	}
	is.New(t).Equal(decodeBody[wire.HistoryReply](t, op.get(t, wire.RouteHistory)).Entries[0].Revision, before.Revision)
}

func opRace(t *testing.T, op OperatorListener) {
	is := is.New(t)
	seen := op.config(t)
	one, two := op.Edit(t, seen.Document), op.Edit(t, op.Edit(t, seen.Document))
	replies := make(chan reply, 2)
	for id, doc := range map[string]json.RawMessage{"contract-one": one, "contract-two": two} {
		go func() { replies <- op.put(t, "?id="+id, etagOf(seen.Revision), doc) }()
	}
	accepted := ""
	for range 2 {
		rp := <-replies
		cr := decodeBody[wire.ChangeReply](t, rp)
		if cr.Result == wire.ChangeAccepted {
			is.Equal(accepted, "") // only one change may be accepted
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
	st := decodeBody[wire.Status](t, op.get(t, wire.RouteStatus))
	is.True(st.VM != "" && st.DataCentre != "" && st.Incarnation != 0)
	is.Equal(st.Phase, "serving")
	is.True(len(st.Teams) > 0 && len(st.Upstreams) > 0)
	mt := decodeBody[map[string]float64](t, op.get(t, wire.RouteMetrics))
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
