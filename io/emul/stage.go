package emul

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// Ports of a Stage, counted from its first.
const (
	portKV = iota
	portVMList
	portAdmin
	// portUpstreams is the first server's.
	portUpstreams = 10
)

// StageConfig configures a Stage.
type StageConfig struct {
	// Port is the first on loopback: the key-value service, the VM list, the
	// administration, and from 10 on the servers. 0 takes free ports.
	Port int
	// Fleet is the servers; its own Port is not used.
	Fleet FleetConfig
	// Lag is how far the served VM list is behind.
	Lag time.Duration
}

// Stage is all stand-ins around one fleet of VMs, with routes on loopback to
// bring about faults while it runs. VMs in processes of their own need nothing
// else.
type Stage struct {
	kv    *KV
	vms   *VMs
	fleet *Fleet
	admin *host
	// started is closed once admin is set, which the first call may precede.
	started chan struct{}
}

// NewStage starts everything.
func NewStage(cfg StageConfig) (*Stage, error) {
	sg := &Stage{
		kv:  NewKV(KVConfig{Addr: loopback(cfg.Port, portKV)}),
		vms: NewVMs(VMsConfig{Addr: loopback(cfg.Port, portVMList), Lag: cfg.Lag}),

		started: make(chan struct{}),
	}
	if err := sg.start(cfg); err != nil {
		sg.Close()
		return nil, err
	}
	return sg, nil
}

func (sg *Stage) start(cfg StageConfig) error {
	if err := sg.kv.Start(); err != nil {
		return err
	}
	if err := sg.vms.Start(); err != nil {
		return err
	}
	fc := cfg.Fleet
	fc.Port = 0
	if cfg.Port != 0 {
		fc.Port = cfg.Port + portUpstreams
	}
	fl, err := NewFleet(fc)
	if err != nil {
		return err
	}
	sg.fleet = fl
	ho, err := startHost(loopback(cfg.Port, portAdmin), func(*gate) {}, sg.routes())
	if err != nil {
		return newError("NewStage", KindListen, err)
	}
	sg.admin = ho
	close(sg.started)
	return nil
}

// Close ends everything that was started.
func (sg *Stage) Close() {
	if sg.admin != nil {
		sg.admin.close()
	}
	if sg.fleet != nil {
		sg.fleet.Close()
	}
	if sg.vms.host != nil {
		sg.vms.Close()
	}
	if sg.kv.host != nil {
		sg.kv.Close()
	}
}

// KV is the stand-in of the key-value service.
func (sg *Stage) KV() *KV { return sg.kv }

// VMs is the stand-in of the VM list.
func (sg *Stage) VMs() *VMs { return sg.vms }

// Fleet is the servers.
func (sg *Stage) Fleet() *Fleet { return sg.fleet }

// Admin is the host and port of the administration.
func (sg *Stage) Admin() string { return sg.admin.addr() }

// Describe tells where everything listens and what it does.
func (sg *Stage) Describe() StageReply {
	sn := sg.fleet.Current()
	ry := StageReply{
		KV:        sg.kv.Addr(),
		VMList:    sg.vms.Addr(),
		Admin:     sg.Admin(),
		Register:  sn.Register,
		Snapshot:  sn.Version,
		Shards:    sn.Shards,
		Upstreams: []StageUpstream{},
		VMs:       sg.vms.visible(),
		KVCounts:  sg.kv.Counts(),
	}
	for _, sv := range sg.fleet.Servers() {
		lo := sv.Upstream.Load()
		ry.Upstreams = append(ry.Upstreams, StageUpstream{
			Addr: sv.Addr, DataCentre: sv.DataCentre, Service: sv.Service,
			State: lo.State, Incarnation: lo.Incarnation, InFlight: lo.InFlight,
			Runs: sv.Upstream.Runs(),
		})
	}
	return ry
}

func (sg *Stage) routes() []route {
	return []route{
		{http.MethodGet, RouteAdminStage, sg.serveStage},
		{http.MethodPost, RouteAdminKV, sg.serveKV},
		{http.MethodPost, RouteAdminUpstream, sg.serveUpstream},
		{http.MethodPost, RouteAdminSnapshot, sg.serveSnapshot},
		{http.MethodPost, RouteAdminVMs, sg.serveVMs},
		{http.MethodPost, RouteAdminRuns, sg.serveRuns},
	}
}

func (sg *Stage) serveStage(_ context.Context, rc *app.RequestContext) {
	<-sg.started
	reply(rc, http.StatusOK, sg.Describe())
}

func (sg *Stage) serveKV(_ context.Context, rc *app.RequestContext) {
	rq, ok := decode[KVFaultRequest](rc)
	if !ok {
		return
	}
	if rq.Remember {
		sg.kv.Remember()
	}
	if rq.Restore {
		sg.kv.Restore()
	}
	if rq.Compact {
		sg.kv.Compact()
	}
	sg.kv.SetFaults(KVFaults{
		Refuse:        rq.Down,
		Fail:          rq.Fail,
		Slow:          millis(rq.SlowMs),
		LoseSwaps:     rq.LoseSwaps,
		SilentWatches: rq.SilentWatches,
		Past:          rq.Past,
	})
	reply(rc, http.StatusOK, struct{}{})
}

func (sg *Stage) serveSnapshot(_ context.Context, rc *app.RequestContext) {
	rq, ok := decode[SnapshotRequest](rc)
	if !ok {
		return
	}
	shards := orDefault(rq.Shards, sg.fleet.Current().Shards)
	sn, err := sg.fleet.Publish(shards)
	if err != nil {
		replyError(rc, http.StatusBadRequest, reasonMalformed, err.Error())
		return
	}
	reply(rc, http.StatusOK, SnapshotReply{Snapshot: sn.Version, Shards: sn.Shards})
}

func (sg *Stage) serveVMs(_ context.Context, rc *app.RequestContext) {
	rq, ok := decode[VMsRequest](rc)
	if !ok {
		return
	}
	for _, vm := range rq.Set {
		sg.vms.Set(vm)
	}
	for _, addr := range rq.Leaving {
		sg.vms.Leaving(addr)
	}
	for _, addr := range rq.Remove {
		sg.vms.Remove(addr)
	}
	if rq.LagMs != nil {
		sg.vms.SetLag(millis(*rq.LagMs))
	}
	if rq.Down != nil {
		sg.vms.SetDown(*rq.Down)
	}
	reply(rc, http.StatusOK, struct{}{})
}

func (sg *Stage) serveRuns(_ context.Context, rc *app.RequestContext) {
	rq, ok := decode[RunsRequest](rc)
	if !ok {
		return
	}
	ry := RunsReply{Shards: map[int]int{}}
	if rq.Query == "" {
		ry.Total = sg.fleet.Runs()
		reply(rc, http.StatusOK, ry)
		return
	}
	ry.Shards = sg.fleet.RunsOf(rq.Query)
	for _, n := range ry.Shards {
		ry.Total += uint64(n)
		ry.MostOfShard = max(ry.MostOfShard, n)
	}
	reply(rc, http.StatusOK, ry)
}
