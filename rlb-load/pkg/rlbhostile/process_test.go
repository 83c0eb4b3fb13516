//go:build hostile

package rlbhostile

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakedeployment"
)

// machine is what the settings of the processes under test state, lower than any machine's.
type machine struct {
	name        string
	memoryMiB   int
	descriptors int
}

var machines = []machine{
	{"little memory", 64, 4096},
	{"few descriptors", 64, 300},
}

// Periods after which a test gives up. No check depends on how long anything took.
const (
	patience  = 5 * time.Second // of a hostile client whose bytes are not read
	hangTime  = time.Minute     // a process that answers nothing for so long hangs
	pollPause = 50 * time.Millisecond
)

// Ports at the address that each test has of its own.
const (
	storePort     = 17000 // those of the replicas follow
	callersPort   = 17100
	readinessPort = 17101
	peerPort      = 17102
	metricsPort   = 17103
	controlPort   = 17104
	operatorsPort = 17105
)

// binaries is the folder of the programs under test.
var binaries string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	folder, err := os.MkdirTemp("", "rlbhostile")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(folder)
	binaries = folder
	for _, program := range []string{"rlb-node", "rlb-gateway", "rlb-controller", "rlb-standin"} {
		build := exec.Command("go", "build", "-o", filepath.Join(folder, program), "github.com/rhubarblb/rhubarblb/"+program)
		if out, err := build.CombinedOutput(); err != nil {
			panic(fmt.Sprintf("build %s: %v\n%s", program, err, out))
		}
	}
	return m.Run()
}

var lastAddress atomic.Uint32

// newAddress returns a loopback address that no other test of this process uses.
func newAddress() string {
	pid, n := os.Getpid(), lastAddress.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 64+pid/250%64, 1+pid%250, n)
}

func at(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }

// process is a process of the system.
type process struct {
	command *exec.Cmd
	out     string // path of its output
	exited  chan struct{}
}

// start starts a program. It is killed at the end of the test.
func start(t *testing.T, settings, program string, arguments ...string) *process {
	folder := t.TempDir()
	path, out := filepath.Join(folder, "settings.ini"), filepath.Join(folder, "out")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(out)
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(filepath.Join(binaries, program), append(arguments, "--settings", path)...)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	p := &process{command, out, make(chan struct{})}
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = command.Process.Kill()
		<-p.exited
	})
	return p
}

// lives reports whether the process has not ended.
func (p *process) lives() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// peakMemory returns the highest resident memory of the process so far, in MiB.
func (p *process) peakMemory() int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, "VmHWM:"); found {
			kib, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kib >> 10
		}
	}
	return -1
}

// openDescriptors returns the number of open descriptors of the process.
func (p *process) openDescriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	return len(entries)
}

// watchDescriptors watches how many descriptors are open. It returns a function that ends the
// watch and returns the highest number that was seen, of which the last is at its call.
func (p *process) watchDescriptors() (highest func() int) {
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan int)
	go func() {
		most := 0
		for ctx.Err() == nil {
			most = max(most, p.openDescriptors())
			time.Sleep(pollPause)
		}
		result <- max(most, p.openDescriptors())
	}()
	return func() int {
		cancel()
		return <-result
	}
}

// lastOutput returns the end of what the process has written, for a failed check.
func (p *process) lastOutput() string {
	out, _ := os.ReadFile(p.out)
	lines := bytes.Split(bytes.TrimSpace(out), []byte("\n"))
	return string(bytes.Join(lines[max(0, len(lines)-20):], []byte("\n")))
}

// limits are the settings that every process under test has.
func (m machine) limits(id string) string {
	return fmt.Sprintf("[instance]\nid = %s\nfailure_domain = seeb\nmemory = %dMiB\ndescriptors = %d\nwrite_stall = 1s\n", id, m.memoryMiB, m.descriptors)
}

// startNode starts an instance of rlb-node with a deployment of stand-ins.
func startNode(t *testing.T, m machine, host string) *process {
	deployment, closeDeployment, err := rlbfakedeployment.NewDeployment(rlbfakedeployment.DeploymentOpts{Host: host, Port: storePort, Domains: []string{"seeb"}, Step: time.Millisecond})
	t.Cleanup(closeDeployment)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			deployment.Refresh()
			time.Sleep(pollPause)
		}
	}()
	return start(t, m.limits("n1")+fmt.Sprintf("[platform]\nobjects = %s\n[node]\ncallers = %s\nreadiness = %s\ninternal = %s\ninternal_ports = %d,%d\n",
		at(host, storePort), at(host, callersPort), at(host, readinessPort), host, peerPort, metricsPort), "rlb-node")
}

// startController starts a controller and the stand-in of its platform.
func startController(t *testing.T, m machine, host string) *process {
	start(t, fmt.Sprintf("[instance]\nid = platform\n[standin]\nlisten = %s\n", at(host, storePort)), "rlb-standin", "platform")
	platform := at(host, storePort)
	return start(t, m.limits("c1")+fmt.Sprintf("[platform]\nobjects = %s\ninstances = %s\nweights = %s\n[controller]\nlisten = %s\noperators = %s\npeers = %s\n",
		platform, platform, platform, at(host, controlPort), at(host, operatorsPort), at(host, controlPort)), "rlb-controller")
}

// startGateway starts a gateway and a controller.
func startGateway(t *testing.T, m machine, host string) *process {
	startController(t, m, host)
	return start(t, m.limits("g1")+fmt.Sprintf("[gateway]\nlisten = %s\ncontrollers = %s\n", at(host, callersPort), at(host, controlPort)), "rlb-gateway")
}
