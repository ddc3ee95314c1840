package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the program of the deploy file, from the root of the repository.
const program = "target/laburnumvane"

// process is a process that this one started.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// watch follows a process that was started.
func watch(cmd *exec.Cmd) *process {
	pr := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_, _ = cmd.Process.Wait()
		close(pr.done)
	}()
	return pr
}

func (pr *process) signal(sg syscall.Signal) { _ = pr.cmd.Process.Signal(sg) }

func (pr *process) end() {
	pr.signal(syscall.SIGKILL)
	<-pr.done
}

// serverProc is an upstream server with its entry in the store.
type serverProc struct {
	*process

	id, service, zone, addr string
	slots                   int
}

// vmProc is a process of the gateway.
type vmProc struct {
	*process

	name, zone, client, ready string
	settings                  string
}

// fleet is a small deployment: the store, servers and VMs.
type fleet struct {
	dir   string
	store *store

	mu      sync.Mutex
	servers []*serverProc
	vms     []*vmProc
	seeds   []string
	network string
	base    int
	record  *os.File
	version int
	// started counts the servers that were ever started, and runs what they ran.
	started int
	runs    []serverRun
	// sentTo is the VM to which each request was sent.
	sentTo map[string]*vmProc
}

func newFleet(dir, recordPath string) (*fleet, error) {
	st, err := newStore()
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	network, base := freePorts()
	return &fleet{dir: dir, store: st, record: record, network: network, base: base, sentTo: make(map[string]*vmProc)}, nil
}

// metricsPort is the port in the run line of the deploy file.
const metricsPort = 9464

// freePorts returns the first three bytes of addresses for VMs, and the first of some ports that are
// free there.
func freePorts() (network string, base int) {
	for {
		network, base = fmt.Sprintf("127.0.%d", 40+rand.IntN(200)), 12_000+10*rand.IntN(1500)
		free := true
		for _, port := range []int{base, base + 1, base + 2, base + 3, metricsPort} {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", network, port))
			if err != nil {
				free = false
				continue
			}
			_ = ln.Close()
		}
		if free {
			return network, base
		}
	}
}

func (fl *fleet) note(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	fl.mu.Lock()
	defer fl.mu.Unlock()
	_, _ = fmt.Fprintf(fl.record, "%s %s\n", time.Now().UTC().Format("15:04:05.000"), line)
}

// serverRun is a request that a server ran, at a time in milliseconds since 1970.
type serverRun struct {
	request, server string
	at              int64
}

// readRuns records what a server reports on its standard output.
func (fl *fleet) readRuns(out io.Reader) {
	for sc := bufio.NewScanner(out); sc.Scan(); {
		var ru serverRun
		if n, err := fmt.Sscanf(sc.Text(), "ran %s %s %d", &ru.request, &ru.server, &ru.at); err != nil || n != 3 {
			continue
		}
		fl.note("server: %s", sc.Text())
		fl.mu.Lock()
		fl.runs = append(fl.runs, ru)
		fl.mu.Unlock()
	}
}

func (fl *fleet) noteSent(request string, vm *vmProc) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.sentTo[request] = vm
}

func (fl *fleet) addServer(service, zone string, slots int, work time.Duration) (*serverProc, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer ln.Close()
	file, err := ln.(*net.TCPListener).File()
	if err != nil {
		return nil, err
	}
	defer file.Close()
	fl.started++
	sv := &serverProc{id: fmt.Sprintf("i-%s-%s-%d", service, zone, fl.started), service: service, zone: zone, addr: ln.Addr().String(), slots: slots}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self, "server", "-id", sv.id, "-service", service, "-slots", fmt.Sprint(slots), "-work", work.String())
	cmd.ExtraFiles = []*os.File{file}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	go fl.readRuns(out)
	sv.process = watch(cmd)
	fl.servers = append(fl.servers, sv)
	fl.enter(sv)
	return sv, nil
}

// replace ends a server and starts another one in its place.
func (fl *fleet) replace(old *serverProc) error {
	nw, err := fl.addServer(old.service, old.zone, old.slots, 5*time.Millisecond)
	if err != nil {
		return err
	}
	old.end()
	kept := fl.servers[:0]
	for _, sv := range fl.servers {
		if sv != old {
			kept = append(kept, sv)
		}
	}
	fl.servers = kept
	fl.note("%s takes the place of %s", nw.id, old.id)
	return nil
}

// enter writes a server's entry. Later check-ins change only its sequence, which changes no item.
func (fl *fleet) enter(sv *serverProc) { fl.writeEntry(sv, "ready", 1) }

func (fl *fleet) writeEntry(sv *serverProc, state string, sequence int) {
	text, _ := json.Marshal(map[string]any{
		"service": sv.service, "address": sv.addr, "zone": sv.zone, "version": "v1", "concurrency": sv.slots,
		"state": state, "warmup_left_ms": 0, "sequence": sequence,
	})
	fl.store.put("servers/"+sv.id, text)
}

// manifest writes the next version of the manifest.
func (fl *fleet) manifest(routes []map[string]any, services []string, connections int) {
	fl.version += 3
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "health_path": "/health", "max_connections": connections, "protocol": "h1", "tls": false})
	}
	text, _ := json.Marshal(map[string]any{
		"version": fl.version, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	fl.store.put("op/config", text)
}

// addVM prepares a VM; its address depends on its number.
func (fl *fleet) addVM(zone string, zones []string) *vmProc {
	n := len(fl.vms) + 1
	ip := fmt.Sprintf("%s.%d", fl.network, n)
	at := func(k int) string { return fmt.Sprintf("%s:%d", ip, fl.base+k) }
	vm := &vmProc{name: fmt.Sprintf("frontend-%s-%d", zone, n), zone: zone, client: at(0), ready: at(1)}
	if len(fl.seeds) < 3 {
		fl.seeds = append(fl.seeds, at(2))
	}
	var text strings.Builder
	fmt.Fprintf(&text, "node_name: %q\nrole: \"gateway\"\nmachine_class: \"frontend\"\nserves: [\"frontend\", \"control\"]\nip: %q\nzone: %q\nregion: \"home\"\nzones:\n", vm.name, ip, zone)
	for _, name := range zones {
		fmt.Fprintf(&text, "  %s: \"home\"\n", name)
	}
	fmt.Fprintf(&text, "listen_addresses:\n  frontend: %q\n  readiness: %q\n  control: %q\ninternal_ports:\n  - %d\n  - %d\nseeds: [SEEDS]\n", at(0), at(1), at(2), fl.base+3, fl.base+9)
	text.WriteString(`bootstrap: true
fault_counted: false
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
discovery: "platform"
entry_point: "vip"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"]
fault_tolerance: {machines: 1, zones: 1, regions: 0}
bounds: {seed_lag_s: 3, address_reuse_s: 2, stability_window_ms: 4000, ack_timeout_ms: 5000, catch_up_s: 4, drain_ms: 3000, grace_s: 6, loss_slack_ms: 200, config_apply_ms: 3000, rollback_slack_ms: 250, outer_ms: 12000, retry_budget_ratio: 0.2, budget_window_s: 10, budget_slack: 56, recovery_s: 12}
`)
	fmt.Fprintf(&text, "platform: {address: %q, form: \"kv\", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, min_ttl_ms: 1000}\n", fl.store.addr)
	vm.settings = text.String()
	fl.vms = append(fl.vms, vm)
	return vm
}

// startVM starts the process of a VM.
func (fl *fleet) startVM(vm *vmProc) error {
	path := filepath.Join(fl.dir, vm.name+".yaml")
	var seeds []string
	for _, addr := range fl.seeds {
		seeds = append(seeds, fmt.Sprintf("%q", addr))
	}
	text := strings.Replace(vm.settings, "SEEDS", strings.Join(seeds, ", "), 1)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(fl.dir, vm.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program, "gateway", "--metrics-port", fmt.Sprint(metricsPort))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "LABURNUMVANE_BOOT=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	vm.process = watch(cmd)
	return nil
}

// isReady reports whether a VM's readiness address responds with 200.
func (vm *vmProc) isReady() bool {
	cl := http.Client{Timeout: time.Second}
	rs, err := cl.Get("http://" + vm.ready + "/laburnumvane/ready")
	if err != nil {
		return false
	}
	defer rs.Body.Close()
	_, _ = io.Copy(io.Discard, rs.Body)
	return rs.StatusCode == http.StatusOK
}

// awaitReady waits until all VMs are ready, and reports whether they are.
func (fl *fleet) awaitReady(wait time.Duration) bool {
	for until := time.Now().Add(wait); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, vm := range fl.vms {
			if vm.isReady() {
				ready++
			}
		}
		if ready == len(fl.vms) {
			return true
		}
	}
	return false
}

// close ends all processes.
func (fl *fleet) close() {
	for _, vm := range fl.vms {
		if vm.process != nil {
			vm.end()
		}
	}
	for _, sv := range fl.servers {
		if sv.process == nil {
			continue
		}
		sv.end()
	}
	_ = fl.record.Close()
}
