package emul

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"laburnumvane/io/wire"
)

const (
	adminTimeout  = 10 * time.Second
	maxAdminReply = 16 << 20
)

// Admin is a client of a Stage's admin API, usually of a Stage in another process.
type Admin struct {
	addr string
	hc   *http.Client
}

// NewAdmin returns a client of the admin API at an address.
func NewAdmin(addr string) *Admin {
	return &Admin{addr: addr, hc: &http.Client{Transport: &http.Transport{}, Timeout: adminTimeout}}
}

// Close closes idle connections.
func (ad *Admin) Close() { ad.hc.CloseIdleConnections() }

// Stage returns the addresses and the present state of all emulators.
func (ad *Admin) Stage(ctx context.Context) (StageReply, error) {
	var ry StageReply
	err := ad.call(ctx, http.MethodGet, RouteAdminStage, nil, &ry)
	return ry, err
}

// KV replaces the faults of the key-value service, after the one-time actions of the request.
func (ad *Admin) KV(ctx context.Context, rq KVFaultRequest) error {
	return ad.call(ctx, http.MethodPost, RouteAdminKV, rq, nil)
}

// Upstream replaces the faults of servers, and then applies an action to them.
func (ad *Admin) Upstream(ctx context.Context, rq UpstreamFaultRequest) (UpstreamFaultReply, error) {
	var ry UpstreamFaultReply
	err := ad.call(ctx, http.MethodPost, RouteAdminUpstream, rq, &ry)
	return ry, err
}

// Snapshot publishes a new snapshot of the register.
func (ad *Admin) Snapshot(ctx context.Context, rq SnapshotRequest) (SnapshotReply, error) {
	var ry SnapshotReply
	err := ad.call(ctx, http.MethodPost, RouteAdminSnapshot, rq, &ry)
	return ry, err
}

// VMs changes the VM list.
func (ad *Admin) VMs(ctx context.Context, rq VMsRequest) error {
	return ad.call(ctx, http.MethodPost, RouteAdminVMs, rq, nil)
}

// Runs returns how many sub-requests the servers ran.
func (ad *Admin) Runs(ctx context.Context, rq RunsRequest) (RunsReply, error) {
	var ry RunsReply
	err := ad.call(ctx, http.MethodPost, RouteAdminRuns, rq, &ry)
	return ry, err
}

func (ad *Admin) call(ctx context.Context, method, path string, in, out any) error {
	const op = "Admin"
	var body []byte
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return newError(op, KindFormat, err)
		}
		body = raw
	}
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+ad.addr+path, bytes.NewReader(body))
	if err != nil {
		return newError(op, KindConfig, err)
	}
	rs, err := ad.hc.Do(rq)
	if err != nil {
		return newError(op, KindCall, err)
	}
	defer func() { _ = rs.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(rs.Body, maxAdminReply))
	if err != nil {
		return newError(op, KindCall, err)
	}
	if rs.StatusCode != http.StatusOK {
		var er wire.ErrorReply
		_ = json.Unmarshal(raw, &er) // an invalid body leaves the message empty
		return errorf(op, KindCall, "%s: status %d: %s", path, rs.StatusCode, er.Error)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return newError(op, KindFormat, err)
	}
	return nil
}
