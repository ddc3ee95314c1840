package wire

import "encoding/json"

// Routes of the operator listener. :team and :id are path parameters.
const (
	RouteConfig  = "/v1/teams/:team/config"
	RouteHistory = "/v1/teams/:team/history"
	RouteChange  = "/v1/changes/:id"
	RouteStatus  = "/v1/status"
	RouteMetrics = "/v1/metrics"
	RouteLog     = "/v1/log"
)

// ChangeResult is the result of an operator's change.
type ChangeResult string

// Results of a change.
const (
	ChangeAccepted ChangeResult = "accepted"
	ChangeConflict ChangeResult = "conflict"
	ChangeUnknown  ChangeResult = "unknown"
	ChangeDryRun   ChangeResult = "dryRun"
	// ChangeRefused means that nothing was written and nothing will be.
	ChangeRefused ChangeResult = "refused"
)

// ConfigReply is the reply of GET on a team's configuration. The ETag header
// holds the revision.
type ConfigReply struct {
	Team     string          `json:"team"`
	Revision uint64          `json:"revision"`
	ChangeID string          `json:"changeId"`
	Document json.RawMessage `json:"document"`
}

// ChangeReply is the reply of PUT on a team's configuration.
type ChangeReply struct {
	Result   ChangeResult `json:"result"`
	ChangeID string       `json:"changeId"`
	Revision uint64       `json:"revision,omitempty"`
	Message  string       `json:"message,omitempty"`
	// Current is the change in force, if Result is conflict.
	Current *ConfigReply `json:"current,omitempty"`
}

// HistoryReply lists a team's last changes, newest first.
type HistoryReply struct {
	Team    string         `json:"team"`
	Entries []HistoryEntry `json:"entries"`
}

// HistoryEntry is one accepted change with its document.
type HistoryEntry struct {
	Revision uint64          `json:"revision"`
	ChangeID string          `json:"changeId"`
	Actor    string          `json:"actor,omitempty"`
	UnixMs   int64           `json:"unixMs"`
	Document json.RawMessage `json:"document,omitempty"`
}

// ChangeStatus says where a change is in force.
type ChangeStatus struct {
	ChangeID string `json:"changeId"`
	Team     string `json:"team,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	Known    bool   `json:"known"`
	// DataCentres summarises VMs.
	DataCentres []ChangeStatusOfDataCentre `json:"dataCentres"`
	VMs         []ChangeStatusOfVM         `json:"vms"`
}

// ChangeStatusOfDataCentre summarises a data centre. Reachable is false if no VM of it answered.
type ChangeStatusOfDataCentre struct {
	DataCentre string `json:"dataCentre"`
	Reachable  bool   `json:"reachable"`
	VMs        int    `json:"vms"`
	InForce    int    `json:"inForce"`
}

// ChangeStatusOfVM is the team's revision on one VM.
type ChangeStatusOfVM struct {
	Addr       string `json:"addr"`
	DataCentre string `json:"dataCentre"`
	Revision   uint64 `json:"revision"`
	InForce    bool   `json:"inForce"`
	Reachable  bool   `json:"reachable"`
}

// Status is one VM's status with its view of the other VMs and the upstream servers.
type Status struct {
	VM          string           `json:"vm"`
	DataCentre  string           `json:"dataCentre"`
	Incarnation uint64           `json:"incarnation"`
	Phase       string           `json:"phase"`
	Version     string           `json:"version"`
	Teams       []TeamStatus     `json:"teams"`
	Registers   []RegisterStatus `json:"registers"`
	Upstreams   []UpstreamOfVM   `json:"upstreams"`
	VMs         []VMStatus       `json:"vms"`
	Alarms      []string         `json:"alarms"`
	Limits      *LimitsOfVM      `json:"limits,omitempty"`
}

// TeamStatus is the revision of a team's configuration in force.
type TeamStatus struct {
	Team     string `json:"team"`
	Revision uint64 `json:"revision"`
	ChangeID string `json:"changeId"`
}

// RegisterStatus describes the snapshot that new searches of a register pin. Live is the number of
// its shards with a server that is not leaving.
type RegisterStatus struct {
	Register string `json:"register"`
	Snapshot uint64 `json:"snapshot"`
	Shards   int    `json:"shards"`
	Live     int    `json:"live"`
}

// UpstreamOfVM is this VM's view of an upstream server. Why is the reason for State. InFlight and
// Limit count sub-requests of this VM; a Limit of 0 means that no search has used the server yet.
// Connections is the number of open connections, and ConnectionPlan the number that this VM may
// have now.
type UpstreamOfVM struct {
	Addr           string  `json:"addr"`
	DataCentre     string  `json:"dataCentre"`
	Service        string  `json:"service"`
	State          string  `json:"state"`
	Why            string  `json:"why"`
	Incarnation    uint64  `json:"incarnation"`
	InFlight       int     `json:"inFlight"`
	Limit          int     `json:"limit"`
	Connections    int     `json:"connections"`
	ConnectionPlan int     `json:"connectionPlan"`
	LatencyMs      float64 `json:"latencyMs"`
}

// VMStatus is one VM's view of another VM.
type VMStatus struct {
	Addr        string `json:"addr"`
	DataCentre  string `json:"dataCentre"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
}
