package main

import (
	"bytes"
	"context"
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

// Ports of a machine, as offsets from the first one. The first 16 are the port range of the nodes.
const (
	portRange    = 16
	frontOffset  = 16
	readyOffset  = 17
	ctrlOffset   = 18
	runnerOffset = 19
	portsUsed    = 24
)

// machine is one machine of the fleet: a loopback address with up to two processes.
type machine struct {
	name, zone, ip string
	disk           bool // counted, with a disk; else an edge machine without one
	controller     bool // serves controller besides edge
	procs          []*proc
}

// proc is a process of the project, started with the command of the deploy file.
type proc struct {
	role  string
	m     *machine
	cmd   *exec.Cmd
	done  chan struct{}
	first bool
}

// fleet is a deployment on loopback addresses.
type fleet struct {
	dir, program, subnet string
	base                 int
	machines             []*machine
	bounds               map[string]any
	tolerance            map[string]any
	beatMs               int
	extra                map[string]any // further settings
	rec                  *record
}

// record collects what happened, with times relative to its start.
type record struct {
	mu    sync.Mutex
	start time.Time
	lines []string
}

func (r *record) add(format string, args ...any) time.Time {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%9.3f  %s", now.Sub(r.start).Seconds(), fmt.Sprintf(format, args...)))
	return now
}

func (r *record) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }

func (r *record) write(path string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}

// newFleet picks free loopback addresses.
func newFleet(rec *record, count int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return nil, err
	}
	for range 200 {
		subnet := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250))
		base := 12000 + rand.IntN(700)*portsUsed
		if free(subnet, base, count) {
			return &fleet{dir: dir, program: "target/beechtide", subnet: subnet, base: base, beatMs: 1200, rec: rec}, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

func free(subnet string, base, count int) bool {
	for i := range count {
		for p := range portsUsed {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", subnet, i+1, base+p))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func (f *fleet) add(zone string, disk, controller bool) *machine {
	n := len(f.machines) + 1
	m := &machine{name: fmt.Sprintf("edge-%s-%d", zone, n), zone: zone, ip: fmt.Sprintf("%s.%d", f.subnet, n), disk: disk, controller: controller}
	m.procs = append(m.procs, &proc{role: "router", m: m, first: true})
	if controller {
		m.procs = append(m.procs, &proc{role: "controller", m: m, first: true})
	}
	f.machines = append(f.machines, m)
	return m
}

func (f *fleet) front(m *machine) string   { return fmt.Sprintf("%s:%d", m.ip, f.base+frontOffset) }
func (f *fleet) ready(m *machine) string   { return fmt.Sprintf("%s:%d", m.ip, f.base+readyOffset) }
func (f *fleet) control(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, f.base+ctrlOffset) }

func (f *fleet) controls() []string {
	var out []string
	for _, m := range f.machines {
		if m.controller {
			out = append(out, f.control(m))
		}
	}
	return out
}

// settings writes the settings file of a process and returns its path. JSON is YAML.
func (f *fleet) settings(p *proc) (string, error) {
	m := p.m
	zones := map[string]string{}
	for _, other := range f.machines {
		zones[other.zone] = "region"
	}
	var seeds []string
	seen := map[string]bool{}
	for _, other := range f.machines { // one of each zone, up to three
		if other.controller && other.disk && !seen[other.zone] && len(seeds) < 3 {
			seen[other.zone] = true
			seeds = append(seeds, f.control(other))
		}
	}
	serves := []string{"edge"}
	listen := map[string]string{"front": f.front(m), "ready": f.ready(m)}
	if m.controller {
		serves = append(serves, "controller")
		listen["control"] = f.control(m)
	}
	set := map[string]any{
		"node": m.name, "role": p.role, "machineClass": "edge", "serves": serves, "ip": m.ip, "zone": m.zone, "region": "region",
		"zones": zones, "listen": listen, "portRange": []int{f.base, f.base + portRange - 1}, "seeds": seeds,
		"bootstrap": p.first, "counted": m.disk, "discovery": "enrollment", "entry": "virtual_ip", "beatPeriodMs": f.beatMs,
		"limits":    map[string]any{"cpuShare": 0.72, "cores": 1, "memoryMb": 284, "fdLimit": 4100, "linkMbps": 1000.0, "diskMb": 64},
		"tolerance": f.tolerance, "bounds": f.bounds,
		"invariants": []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants"},
	}
	if m.disk {
		data := filepath.Join(f.dir, "data", m.name, p.role)
		if err := os.MkdirAll(data, 0o755); err != nil {
			return "", err
		}
		set["dataDir"] = data
	}
	for k, v := range f.extra {
		set[k] = v
	}
	raw, err := json.MarshalIndent(set, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(f.dir, m.name+"."+p.role+".yaml")
	return path, os.WriteFile(path, raw, 0o644)
}

// start starts a process with the settings of this moment.
func (f *fleet) start(p *proc) error {
	path, err := f.settings(p)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, p.m.name+"."+p.role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(f.program, p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BEECHTIDE_CONFIG=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done, p.first = cmd, done, false
	go func() { _ = cmd.Wait(); close(done) }()
	return nil
}

// kill sends SIGKILL to a process and waits for its end.
func (p *proc) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.done
}

// alive reports whether a process runs.
func (p *proc) alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return p.cmd != nil
	}
}

func (f *fleet) startAll() error {
	for _, m := range f.machines {
		for _, p := range m.procs {
			if err := f.start(p); err != nil {
				return err
			}
		}
	}
	return nil
}

// startThese starts the processes of machines with the settings of this moment.
func (f *fleet) startThese(machines []*machine) bool {
	for _, m := range machines {
		for _, p := range m.procs {
			if err := f.start(p); err != nil {
				f.rec.add("start: %v", err)
				return false
			}
		}
	}
	return true
}

func (f *fleet) close() {
	for _, m := range f.machines {
		for _, p := range m.procs {
			p.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}

var control = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes a call at the control addresses, one after the other, until one answers below 500.
func (f *fleet) call(ctx context.Context, method, path string, headers map[string]string, body []byte) (int, []byte, string) {
	for ctx.Err() == nil {
		for _, addr := range f.controls() {
			request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
			if err != nil {
				return 0, nil, ""
			}
			request.Header.Set("Content-Type", "application/json")
			for k, v := range headers {
				request.Header.Set(k, v)
			}
			response, err := control.Do(request)
			if err != nil {
				continue
			}
			raw, err := io.ReadAll(response.Body)
			response.Body.Close()
			if err == nil && response.StatusCode < 500 && response.StatusCode != 408 && response.StatusCode != 429 {
				return response.StatusCode, raw, addr
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, nil, ""
}

// replace sends a configuration.
func (f *fleet) replace(ctx context.Context, config map[string]any, base int) (int, string) {
	raw, _ := json.Marshal(config)
	status, _, addr := f.call(ctx, "POST", "/api/Config.Replace", map[string]string{"Beechtide-Base-Version": fmt.Sprint(base)}, raw)
	f.rec.add("configuration %v on %d: %d from %s", config["version"], base, status, addr)
	return status, addr
}

// awaitReady waits until every router answers its readiness question with 200.
func (f *fleet) awaitReady(ctx context.Context) bool {
	for _, m := range f.machines {
		for {
			response, err := control.Get("http://" + f.ready(m) + "/api/ready")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == 200 {
					break
				}
			}
			if ctx.Err() != nil {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}
