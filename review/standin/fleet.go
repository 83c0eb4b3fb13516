// Command standin plays the cases of the review: it serves stand-ins of the platform's
// store, replicas and consumers, and starts rlb-node as separate processes.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakedeployment"
)

// Bounds as in a small deployment, in the names of the settings template.
var bounds = map[string]string{
	"Bounds.BudgetRatio": "0.2", "Bounds.BudgetExtra": "58", "Bounds.BudgetWindowS": "10", "Bounds.GraceS": "8",
	"Bounds.LeaseMs": "3000", "Bounds.CeilingWindowS": "5", "HeartbeatMs": "1200", "Bounds.FencingRequired": "true", "Region": "nz-north",
}

// heartbeat is HeartbeatMs: how often a replica writes its entry.
const heartbeat = 1200 * time.Millisecond

// node is a process of rlb-node.
type node struct {
	name, zone, callers, readiness string
	settings, logPath              string
	cmd                            *exec.Cmd
}

// fleet is a deployment: a store, replicas and nodes.
type fleet struct {
	dir      string
	ip       string // loopback address of all its servers and nodes
	store    *rlbfakedeployment.Store
	storeAt  string
	ports    map[string]bool // given out
	servers  []*http.Server
	replicas []*replica
	nodes    []*node
	record   *record
	release  func() // stops the handling of signals
}

// fleets counts the fleets of this process.
var fleets int

func newFleet(rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	fleets++
	// An address of its own keeps the ports of a fleet apart from those of other sockets.
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()/256%64, os.Getpid()%256, 1+fleets%250)
	f := &fleet{dir: dir, ip: ip, ports: map[string]bool{}, store: rlbfakedeployment.NewStore(), record: rec}
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	f.storeAt = listener.Addr().String()
	server := &http.Server{Handler: f.store}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }()
	f.stopOnSignal()
	return f, nil
}

// stopOnSignal makes a signal to this process end those that it started.
func (f *fleet) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	f.release = func() { signal.Stop(signals) }
	go func() {
		if _, received := <-signals; received {
			for _, n := range f.nodes {
				if n.cmd != nil {
					_ = n.cmd.Process.Kill()
				}
			}
			_ = os.RemoveAll(f.dir)
			os.Exit(2)
		}
	}()
}

// stop ends all processes and servers of the fleet and removes its folder.
func (f *fleet) stop() {
	f.release()
	for _, n := range f.nodes {
		n.kill()
	}
	for _, r := range f.replicas {
		r.end()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	_ = os.RemoveAll(f.dir)
}

// freePort returns a port of the fleet's address that no socket uses, other than earlier
// results.
func (f *fleet) freePort() string {
	for {
		listener, err := net.Listen("tcp", net.JoinHostPort(f.ip, "0"))
		if err != nil {
			panic(err)
		}
		_, port, _ := net.SplitHostPort(listener.Addr().String())
		_ = listener.Close()
		if !f.ports[port] {
			f.ports[port] = true
			return port
		}
	}
}

var placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)

// addNode writes the settings of a node from the deploy file's template.
func (f *fleet) addNode(name, zone string) (*node, error) {
	template, err := os.ReadFile("deploy/node.ini.tmpl")
	if err != nil {
		return nil, err
	}
	n := &node{name: name, zone: zone, callers: net.JoinHostPort(f.ip, f.freePort()), readiness: net.JoinHostPort(f.ip, f.freePort())}
	values := map[string]string{
		"NodeName": name, "Zone": zone, "Platform.Address": f.storeAt, "Listen.Front": n.callers, "Listen.Ready": n.readiness,
		"Ip": f.ip, "InternalPorts": f.freePort() + "," + f.freePort(),
	}
	for key, value := range bounds {
		values[key] = value
	}
	text := placeholder.ReplaceAllStringFunc(string(template), func(p string) string { return values[strings.Trim(p, "{}")] })
	n.settings, n.logPath = filepath.Join(f.dir, name+".ini"), filepath.Join(f.dir, name+".log")
	f.nodes = append(f.nodes, n)
	return n, os.WriteFile(n.settings, []byte(text), 0o644)
}

// start starts the process of the node with the command of the deploy file.
func (n *node) start() error {
	out, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	n.cmd = exec.Command("target/rlb-node", "--settings", n.settings)
	n.cmd.Stdout, n.cmd.Stderr = out, out
	return n.cmd.Start()
}

func (n *node) kill() {
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Kill()
		_ = n.cmd.Wait()
		n.cmd = nil
	}
}

// ready reports whether the node answers its readiness check with 200.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.readiness + "/-/readiness")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startNodes starts all nodes and waits until they are ready.
func (f *fleet) startNodes() error {
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range f.nodes {
		for end := time.Now().Add(10 * time.Second); !n.ready(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after 10 s", n.name)
			}
		}
	}
	return nil
}
