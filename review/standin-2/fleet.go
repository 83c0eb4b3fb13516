package main

import (
	"fmt"
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

// record is what was sent, answered and run, and whether the rule was broken.
type record struct {
	mu     sync.Mutex
	begun  time.Time
	file   *os.File
	broken int
	runs   map[string][]string // replicas that ran a request, by its id
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		fatal("%v", err)
	}
	return &record{begun: time.Now(), file: file, runs: map[string][]string{}}
}

func (r *record) write(mark, format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f s %s%s\n", time.Since(r.begun).Seconds(), mark, fmt.Sprintf(format, args...))
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("", format, args...)
}

// breaks records that the rule was broken.
func (r *record) breaks(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
	r.write("BROKEN: ", format, args...)
	fmt.Printf("BROKEN: "+format+"\n", args...)
}

func (r *record) ran(id, replica string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], replica)
	r.write("", "%s runs %s", replica, id)
}

// fatal ends the script as one that could not run.
func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	stopAll()
	os.Exit(2)
}

// node is a process of the system.
type node struct {
	name, zone string
	front      string // address for consumers
	ready      string
	settings   string
	cmd        *exec.Cmd
}

var (
	processes   []*exec.Cmd
	processesMu sync.Mutex
)

// stopAll ends all processes that were started.
func stopAll() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, cmd := range processes {
		if cmd.ProcessState != nil {
			continue // it has ended
		}
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	processes = nil
}

// nextPort is where the search for free ports goes on: those returned before may not be in use yet.
var nextPort = 20000 + os.Getpid()%60*200

// freePorts returns n ports in a row that are free.
func freePorts(n int) int {
	for base := nextPort; base < 32700; base += n {
		var open []net.Listener
		for p := base; p < base+n; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
			if err != nil {
				break
			}
			open = append(open, l)
		}
		for _, l := range open {
			_ = l.Close()
		}
		if len(open) == n {
			nextPort = base + n
			return base
		}
	}
	fatal("no free ports")
	return 0
}

// newNode writes the settings of a process, as deploy/node.ini.tmpl has them, for the bounds
// of the small deployments.
func newNode(dir, name, zone, store string) *node {
	base := freePorts(6)
	n := &node{name: name, zone: zone, front: fmt.Sprintf("127.0.0.1:%d", base), ready: fmt.Sprintf("127.0.0.1:%d", base+1), settings: filepath.Join(dir, name+".ini")}
	text := fmt.Sprintf(`[instance]
id = %s
failure_domain = %s
region = muscat
memory = 0284MiB
descriptors = 04100

[platform]
objects = %s

[node]
callers = %s
readiness = %s
internal = 127.0.0.1
internal_ports = %d,%d
retry_ratio = 0.2
retry_allowance = 52
retry_window = 10s
grace = 8s
drain = 02000ms
lease = 3000ms
load_window = 5s
report_interval = 1200ms
fencing = true
`, name, zone, store, n.front, n.ready, base+2, base+5)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		fatal("%v", err)
	}
	n.start(dir)
	return n
}

// start starts the process with the command of the deploy file.
func (n *node) start(dir string) {
	log, err := os.OpenFile(filepath.Join(dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal("%v", err)
	}
	n.cmd = exec.Command("target/rlb-node", "--settings", n.settings)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RHUBARBLB_BOOT=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		fatal("%v", err)
	}
	_ = log.Close()
	processesMu.Lock()
	processes = append(processes, n.cmd)
	processesMu.Unlock()
}

// restart stops the process as planned work does, with SIGTERM, and starts it again.
func (n *node) restart(dir string, ended func()) {
	_ = n.cmd.Process.Signal(syscall.SIGTERM)
	_ = n.cmd.Wait()
	ended()
	n.start(dir)
}

// kill ends the process with SIGKILL.
func (n *node) kill() {
	_ = n.cmd.Process.Kill()
	_ = n.cmd.Wait()
}

// waitReady waits until all nodes say that they are ready.
func waitReady(nodes []*node) {
	client := &http.Client{Timeout: time.Second}
	for _, n := range nodes {
		ready := false
		for range 200 {
			if resp, err := client.Get("http://" + n.ready + "/-/readiness"); err == nil {
				_ = resp.Body.Close()
				if ready = resp.StatusCode == http.StatusOK; ready {
					break
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		if !ready {
			fatal("%s does not get ready", n.name)
		}
	}
}

func serveStore(s *store) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("%v", err)
	}
	go func() { _ = http.Serve(listener, s) }()
	return listener.Addr().String()
}

func trouble() bool { return strings.TrimSpace(os.Getenv("TROUBLE")) != "0" }
