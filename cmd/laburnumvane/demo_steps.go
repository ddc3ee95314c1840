package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"laburnumvane/io/client"
	"laburnumvane/io/site"
	"laburnumvane/io/wire"
)

// demo runs the steps of the demonstration, one after the other.
type demo struct {
	st  *site.Site
	out io.Writer
	// member is an existing member of the register, which the steps search for.
	member wire.Hit
}

func (de *demo) run(ctx context.Context) error {
	if err := de.st.WaitReady(ctx); err != nil {
		return err
	}
	de.printf("three VMs are up, over a register of %d shards", de.st.Fleet().Current().Shards)
	for _, step := range []func(context.Context) error{
		de.findMember, de.kiosk, de.lostShard, de.renewal, de.changeWhileSearching,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (de *demo) printf(format string, args ...any) {
	fmt.Fprintf(de.out, format+"\n", args...)
}

func (de *demo) caller(vm int) (*client.Caller, error) {
	return client.NewCaller(client.Config{URL: "http://" + de.st.Nodes()[vm].Addrs().Caller})
}

func (de *demo) operator(vm int) (*client.Operator, error) {
	return client.NewOperator(client.Config{URL: "http://" + de.st.Nodes()[vm].Addrs().Operator})
}

func (de *demo) search(ctx context.Context, vm int, rq wire.SearchRequest) (wire.SearchAnswer, error) {
	ca, err := de.caller(vm)
	if err != nil {
		return wire.SearchAnswer{}, err
	}
	rq.Team = demoTeam
	return ca.Search(ctx, rq)
}

// findMember picks any member of the register, so that the demonstration also works with a register
// that the user supplies.
func (de *demo) findMember(ctx context.Context) error {
	an, err := de.search(ctx, 0, wire.SearchRequest{Search: "history", Query: json.RawMessage(`{}`)})
	if err != nil {
		return err
	}
	if len(an.Hits) == 0 {
		return errors.Errorf("the register answers nothing: %s %s", an.Outcome, an.Reason)
	}
	de.member = an.Hits[0]
	return nil
}

// query returns a query for the chosen member, by plate if it has one and by member id otherwise.
func (de *demo) query() json.RawMessage {
	var fields struct {
		Plate string `json:"plate"`
	}
	field, value := "member", de.member.Member
	if json.Unmarshal(de.member.Fields, &fields) == nil && fields.Plate != "" {
		field, value = "plate", fields.Plate
	}
	raw, err := json.Marshal(map[string]string{field: value})
	if err != nil {
		// A map of strings always encodes.
		panic(err)
	}
	return raw
}

func (de *demo) kiosk(ctx context.Context) error {
	an, err := de.search(ctx, 0, wire.SearchRequest{Search: "kiosk", Query: de.query()})
	if err != nil {
		return err
	}
	de.printf("\nA kiosk looks up %s:", de.query())
	de.printAnswer(an)
	return nil
}

// lostShard crashes all three servers of a shard, searches, and restarts the servers.
func (de *demo) lostShard(ctx context.Context) error {
	replicas := de.st.Fleet().Replicas(0)
	for _, sv := range replicas {
		sv.Upstream.Crash()
	}
	an, err := de.search(ctx, 1, wire.SearchRequest{Search: "history", Query: json.RawMessage(`{"orderBy":"member"}`)})
	if err != nil {
		return err
	}
	de.printf("\nA history search while all servers of one shard are down:")
	de.printAnswer(an)
	for _, sv := range replicas {
		if err := sv.Upstream.Restart(wire.UpstreamServing); err != nil {
			return err
		}
	}
	return de.st.WaitReady(ctx)
}

// renewal sends one request twice, the second time to another VM, as a client does that did not
// receive the first answer.
func (de *demo) renewal(ctx context.Context) error {
	ca, err := de.caller(0)
	if err != nil {
		return err
	}
	tickets, err := ca.Tickets(ctx, wire.TicketRequest{Team: demoTeam})
	if err != nil {
		return err
	}
	rq := wire.SearchRequest{Search: "renewal", Query: de.query(), Repeat: wire.RepeatNever, Ticket: tickets.Tickets[0]}
	before := de.st.Fleet().Runs()
	for i, vm := range []int{0, 2} {
		an, err := de.search(ctx, vm, rq)
		if err != nil {
			return err
		}
		de.printf("\nA renewal that must not be repeated, attempt %d, on VM %d:", i+1, vm+1)
		de.printAnswer(an)
	}
	de.printf("  the upstreams ran %d sub-requests for both attempts together", de.st.Fleet().Runs()-before)
	return nil
}

// changeWhileSearching changes the hit limit while kiosk searches run.
func (de *demo) changeWhileSearching(ctx context.Context) error {
	searching, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	counts := make([]map[wire.Outcome]int, len(de.st.Nodes()))
	for vm := range counts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			counts[vm] = de.searchUntil(searching, vm)
		}()
	}
	start := time.Now()
	reply, err := de.change(ctx)
	if err == nil {
		err = de.waitInForce(ctx, reply)
	}
	took := time.Since(start)
	stop()
	wg.Wait()
	if err != nil {
		return err
	}
	de.printf("\nA change of configuration while searches run:")
	de.printf("  change %s: %s as revision %d, in force on all VMs after %d ms", reply.ChangeID, reply.Result, reply.Revision, took.Milliseconds())
	for vm, count := range counts {
		de.printf("  VM %d answered meanwhile: %s", vm+1, formatOutcomes(count))
	}
	return nil
}

func (de *demo) searchUntil(ctx context.Context, vm int) map[wire.Outcome]int {
	counts := make(map[wire.Outcome]int)
	for ctx.Err() == nil {
		an, err := de.search(context.WithoutCancel(ctx), vm, wire.SearchRequest{Search: "kiosk", Query: de.query()})
		if err != nil {
			counts[wire.Outcome(err.Error())]++
			continue
		}
		counts[an.Outcome]++
	}
	return counts
}

func (de *demo) change(ctx context.Context) (wire.ChangeReply, error) {
	op, err := de.operator(1)
	if err != nil {
		return wire.ChangeReply{}, err
	}
	current, err := op.Config(ctx, demoTeam)
	if err != nil {
		return wire.ChangeReply{}, err
	}
	doc := de.st.Document()
	kiosk := doc.Searches["kiosk"]
	kiosk.HitLimit = 3
	doc.Searches["kiosk"] = kiosk
	raw, err := json.Marshal(doc)
	if err != nil {
		return wire.ChangeReply{}, err
	}
	return op.SetConfig(ctx, client.Change{Team: demoTeam, Document: raw, IfRevision: current.Revision})
}

// waitInForce waits until every VM reports the change's revision or a later one.
func (de *demo) waitInForce(ctx context.Context, reply wire.ChangeReply) error {
	if reply.Result != wire.ChangeAccepted {
		return errors.Errorf("the change was not accepted: %s %s", reply.Result, reply.Message)
	}
	for _, nd := range de.st.Nodes() {
		for {
			if cr, ok := nd.Config(demoTeam); ok && cr.Revision >= reply.Revision {
				break
			}
			if ctx.Err() != nil {
				return ctx.Err()
			}
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}
