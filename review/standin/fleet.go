package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// fleet is a small deployment: the platform's store, servers and VMs of the gateway. Servers and VMs
// are processes of their own, on loopback addresses.
type fleet struct {
	dir, gateway, self string
	store              *store
	storeAddr          string
	zones              []string
	bounds             string
	ports              ports
	vms                []*vm
	servers            []*upstream

	mu     sync.Mutex
	events []Event
}

type ports struct{ client, ready, inner, metrics, server int }

type vm struct {
	name, zone, ip string
	cmd            *exec.Cmd
}

type upstream struct {
	id, service, zone, addr string
	args                    []string
	slots                   int

	mu       sync.Mutex
	cmd      *exec.Cmd
	in       io.WriteCloser
	born     int64
	stopped  bool
	sequence int
	coldTill time.Time
	// cut is set while the server does not reach the store; writtenAt is when its entry was last written.
	cut       bool
	writtenAt time.Time
}

// freePorts returns ports that are free on all loopback addresses.
func freePorts() (ports, error) {
	var found []int
	for len(found) < 5 {
		ln, err := net.Listen("tcp", ":0")
		if err != nil {
			return ports{}, err
		}
		found = append(found, ln.Addr().(*net.TCPAddr).Port)
		defer ln.Close()
	}
	return ports{found[0], found[1], found[2], found[3], found[4]}, nil
}

func newFleet(zones []string, bounds string) (*fleet, error) {
	gateway, err := filepath.Abs(filepath.Join(os.Getenv("REPO"), "target", "laburnumvane"))
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(gateway); err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	po, err := freePorts()
	if err != nil {
		return nil, err
	}
	fl := &fleet{dir: dir, gateway: gateway, self: self, zones: zones, bounds: bounds, ports: po}
	fl.storeAddr = fmt.Sprintf("127.200.1.7:%d", po.server)
	fl.store, err = newStore(fl.storeAddr)
	return fl, err
}

// close ends all processes that the fleet started.
func (fl *fleet) close() {
	for _, v := range fl.vms {
		if v.cmd != nil && v.cmd.Process != nil {
			_ = v.cmd.Process.Signal(syscall.SIGCONT)
			_ = v.cmd.Process.Kill()
			_ = v.cmd.Wait()
		}
	}
	for _, up := range fl.servers {
		up.kill()
	}
	_ = os.RemoveAll(fl.dir)
}

func (up *upstream) kill() {
	up.mu.Lock()
	cmd := up.cmd
	up.stopped, up.cmd = true, nil
	up.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

const settings = `node_name: "%s"
role: "gateway"
machine_class: "frontend"
serves: ["frontend", "control"]
ip: "%s"
zone: "%s"
region: "region"
zones: {%s}
listen_addresses:
  frontend: "%s:%d"
  readiness: "%s:%d"
  control: "%s:%d"
internal_ports: [%d, %d]
seeds: [%s]
bootstrap: true
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry_point: "vip"
heartbeat_ms: 1200
fault_tolerance: {machines: 1, zones: 1, regions: 0}
bounds: {%s}
platform: {address: "%s", form: "kv", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, min_ttl_ms: 1000}
`

// addVM adds a VM; startVMs starts all.
func (fl *fleet) addVM(zone int) {
	n := len(fl.vms) + 1
	fl.vms = append(fl.vms, &vm{name: fmt.Sprintf("frontend-%d", n), zone: fl.zones[zone], ip: fmt.Sprintf("127.1.%d.%d", zone+1, n)})
}

func (fl *fleet) startVMs() error {
	for _, v := range fl.vms {
		if err := fl.startVM(v); err != nil {
			return err
		}
	}
	return nil
}

func (fl *fleet) startVM(v *vm) error {
	zones, seeds := "", ""
	for i, zone := range fl.zones {
		if i > 0 {
			zones += ", "
		}
		zones += zone + `: "region"`
	}
	for i, other := range fl.vms[:min(3, len(fl.vms))] {
		if i > 0 {
			seeds += ", "
		}
		seeds += fmt.Sprintf(`"%s:%d"`, other.ip, fl.ports.metrics)
	}
	po := fl.ports
	text := fmt.Sprintf(settings, v.name, v.ip, v.zone, zones, v.ip, po.client, v.ip, po.ready, v.ip, po.metrics, po.inner, po.inner, seeds, fl.bounds, fl.storeAddr)
	path := filepath.Join(fl.dir, v.name+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	logs, err := os.OpenFile(filepath.Join(fl.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	// The run line of deploy/system.toml, with a free port for the metrics.
	v.cmd = exec.Command(fl.gateway, "gateway", "--metrics-port", fmt.Sprint(po.metrics))
	v.cmd.Env = []string{"LABURNUMVANE_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + fl.dir, "LANG=C"}
	v.cmd.Stdout, v.cmd.Stderr, v.cmd.Dir = logs, logs, filepath.Dir(filepath.Dir(fl.gateway))
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return v.cmd.Start()
}

func (fl *fleet) clientAddr(v *vm) string { return fmt.Sprintf("%s:%d", v.ip, fl.ports.client) }

// addServer adds a server and starts it.
func (fl *fleet) addServer(service string, zone, slots int) error {
	n := len(fl.servers) + 1
	up := &upstream{id: fmt.Sprintf("i-%04x", 0x7f00+n), service: service, zone: fl.zones[zone], slots: slots}
	up.addr = fmt.Sprintf("127.10.%d.%d:%d", zone+1, n, fl.ports.server)
	up.args = []string{"server", "--addr", up.addr, "--id", up.id, "--service", service, "--slots", fmt.Sprint(slots)}
	fl.servers = append(fl.servers, up)
	if err := fl.startServer(up, 0); err != nil {
		return err
	}
	go fl.heartbeat(up)
	return nil
}

// startServer starts a process of a server, cold for a time. The process registers itself, if it reaches the
// store, before it listens.
func (fl *fleet) startServer(up *upstream, cold time.Duration) error {
	cmd := exec.Command(fl.self, append(append([]string{}, up.args...), "--warm", cold.String())...)
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	in, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	now := time.Now()
	up.mu.Lock()
	up.born, up.stopped, up.sequence, up.cmd, up.in, up.coldTill = now.UnixMilli(), false, 0, cmd, in, now.Add(cold)
	up.mu.Unlock()
	fl.register(up)
	if err := cmd.Start(); err != nil {
		return err
	}
	go func() {
		sc := bufio.NewScanner(out)
		for sc.Scan() {
			var ev Event
			if json.Unmarshal(sc.Bytes(), &ev) == nil {
				fl.mu.Lock()
				fl.events = append(fl.events, ev)
				fl.mu.Unlock()
			}
		}
	}()
	return nil
}

// register writes a server's entry, as its process does.
func (fl *fleet) register(up *upstream) {
	up.mu.Lock()
	if up.stopped || up.cut {
		up.mu.Unlock()
		return
	}
	up.sequence++
	up.writtenAt = time.Now()
	en := map[string]any{
		"service": up.service, "address": up.addr, "zone": up.zone, "version": "v1", "concurrency": up.slots,
		"state": "ready", "warmup_left_ms": max(0, time.Until(up.coldTill).Milliseconds()), "sequence": up.sequence, "born": up.born,
	}
	up.mu.Unlock()
	fl.store.Put("servers/"+up.id, en)
}

const (
	heartbeat = 1200 * time.Millisecond
	// silentBeats is after how many check-in intervals of silence an entry is removed.
	silentBeats = 3
)

// heartbeat writes a server's entry while it runs and reaches the store. The entry is removed after
// three check-in intervals of silence.
func (fl *fleet) heartbeat(up *upstream) {
	for next := time.Now().Add(heartbeat); ; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(next) {
			next = next.Add(heartbeat)
			fl.register(up)
		}
		up.mu.Lock()
		lapsed := time.Since(up.writtenAt) > silentBeats*heartbeat
		up.mu.Unlock()
		if lapsed {
			fl.store.Remove("servers/" + up.id)
		}
	}
}

// setCut cuts a server off from the store, or connects it again, which it uses at once.
func (fl *fleet) setCut(up *upstream, cut bool) {
	up.mu.Lock()
	up.cut = cut
	up.mu.Unlock()
	if !cut {
		fl.register(up)
	}
}

// awaitReady waits until all VMs are ready and listed in the store.
func (fl *fleet) awaitReady(most time.Duration) error {
	end := time.Now().Add(most)
	for time.Now().Before(end) {
		ready := 0
		for _, v := range fl.vms {
			if fl.isReady(v) {
				ready++
			}
		}
		if ready == len(fl.vms) && fl.store.Count("vms/") == len(fl.vms) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the VMs are not ready")
}

func (fl *fleet) isReady(v *vm) bool {
	nc, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", v.ip, fl.ports.ready), time.Second)
	if err != nil {
		return false
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(time.Second))
	_, _ = io.WriteString(nc, "GET /laburnumvane/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	line, _ := bufio.NewReader(nc).ReadString('\n')
	return len(line) > 12 && line[9:12] == "200"
}

// Events returns what the servers have reported so far.
func (fl *fleet) Events() []Event {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return append([]Event(nil), fl.events...)
}
