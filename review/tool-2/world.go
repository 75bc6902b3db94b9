//go:build review

// Command tool-2 plays the cases of the second review that can't be put as a day of the bench. It starts the gateway with the
// command of the deploy file, as separate processes on loopback addresses, beside stand-ins of the store, of servers and of
// clients.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/yuccabridge/yuccabridge/platform/standin"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCantRun = 2
)

const (
	hostName = "ficu95.example"
	tenant   = "hule930"
	apiKey   = "n2ctnfzs989anu6wsjnb"
	zone     = "lanester"
)

// record is the record of a case: what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, started: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// world is a small deployment: the store and gateways. Servers and clients belong to the cases.
type world struct {
	record   *record
	dir      string
	store    *standin.Store
	gateways []*gatewayProcess
	lastPort int
}

type gatewayProcess struct {
	name, front, readiness, control, settings string
	log                                       *os.File
	cmd                                       *exec.Cmd
	exited                                    chan struct{}
}

func newWorld(r *record) (*world, error) {
	dir, err := os.MkdirTemp("", "yuccabridge-review")
	if err != nil {
		return nil, err
	}
	return &world{record: r, dir: dir, store: standin.NewStore()}, nil
}

// close ends all processes and removes the files of the case.
func (w *world) close() {
	for _, g := range w.gateways {
		g.kill()
	}
	w.store.Close()
	os.RemoveAll(w.dir)
}

const (
	// firstPort and the next portCount ports are below those that the kernel gives out. Each process of this program begins
	// with others of them.
	firstPort, portCount = 20000, 12000
	portsPerProcess      = 48
)

// freeAddress returns a loopback address that is free for TCP and for UDP, each time another one.
func (w *world) freeAddress() (string, error) {
	for range portCount {
		w.lastPort++
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+(os.Getpid()*portsPerProcess+w.lastPort)%portCount)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", address)
		l.Close()
		if err == nil {
			u.Close()
			return address, nil
		}
	}
	return "", fmt.Errorf("no free port")
}

// addGateways prepares gateways; start starts them. They are seeds of each other, at most three.
func (w *world) addGateways(count int) error {
	for i := range count {
		g := &gatewayProcess{name: fmt.Sprintf("front-%s-%d", zone, i+1)}
		for _, address := range []*string{&g.front, &g.readiness, &g.control} {
			var err error
			if *address, err = w.freeAddress(); err != nil {
				return err
			}
		}
		w.gateways = append(w.gateways, g)
	}
	var seeds []string
	for _, g := range w.gateways[:min(count, 3)] {
		seeds = append(seeds, strconv.Quote(g.control))
	}
	template, err := os.ReadFile("deploy/settings.tmpl")
	if err != nil {
		return err
	}
	for _, g := range w.gateways {
		values := map[string]string{
			"node-name": g.name, "zone": zone, "bootstrap": "true", "listen.front": g.front, "listen.readiness": g.readiness, "listen.control": g.control,
			"seeds|json": "[" + strings.Join(seeds, ", ") + "]", "platform.address": w.store.Address(), "bounds.config-ms": "2000",
			"bounds.retry-budget-ratio": "0.2", "bounds.retry-window-s": "10", "bounds.retry-slack": "56", "bounds.grace-s": "8", "limits.memory-mb": "134",
		}
		text := regexp.MustCompile(`{{([^}]*)}}`).ReplaceAllStringFunc(string(template), func(placeholder string) string {
			return values[strings.Trim(placeholder, "{}")]
		})
		g.settings = filepath.Join(w.dir, g.name+".yaml")
		if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// start starts a gateway with the command of the deploy file.
func (w *world) start(g *gatewayProcess) error {
	log, err := os.OpenFile(g.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/yuccabridged", "gateway", "--settings", g.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() { _ = cmd.Wait(); log.Close(); close(exited) }()
	g.log, g.cmd, g.exited = log, cmd, exited
	return nil
}

// startAll starts all gateways and waits until they are ready.
func (w *world) startAll() error {
	for _, g := range w.gateways {
		if err := w.start(g); err != nil {
			return err
		}
	}
	for _, g := range w.gateways {
		if err := g.awaitReady(8 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (g *gatewayProcess) ready() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + g.readiness + "/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (g *gatewayProcess) awaitReady(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for !g.ready() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready", g.name)
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

func (g *gatewayProcess) signal(s syscall.Signal) {
	if g.cmd != nil {
		_ = g.cmd.Process.Signal(s)
	}
}

func (g *gatewayProcess) kill() {
	if g.cmd != nil {
		g.signal(syscall.SIGKILL)
		<-g.exited
	}
}

// putConfig publishes a configuration.
func (w *world) putConfig(version int, routes, services []map[string]any) {
	w.store.Put("op/config", map[string]any{"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": tenant, "api-keys": []string{apiKey}, "priority": 1}}})
}

func route(name, prefix, kind, service string, timeout time.Duration, attempts int) map[string]any {
	return map[string]any{"name": name, "hostname": hostName, "path-prefix": prefix, "kind": kind, "timeout-ms": timeout.Milliseconds(), "target-latency-ms": 150,
		"priority": 1, "service": service, "max-attempts": attempts, "public": false, "sticky": false, "resumable": false}
}

// register writes the entry of a server that has just started.
func (w *world) register(id, service, address string, slots int, state string) {
	w.store.Put("servers/"+id, map[string]any{"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": state, "cold-ms": 0, "seq": 1, "born": time.Now().UnixMilli()})
}
