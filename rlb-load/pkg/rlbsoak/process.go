package rlbsoak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Timing of processes.
const (
	grace             = 8 * time.Second // between SIGTERM and SIGKILL
	restartSettleTime = 700 * time.Millisecond
)

// instance is an instance under test, with at most one process at a time.
type instance struct {
	name             string
	domain           string
	callerAddress    string
	readinessAddress string
	settingsPath     string // path of the settings file
	firstPort        int    // portsPerInstance ports from here on
	storeProxy       *proxy
	peerProxy        *proxy

	disturbances
	mu           sync.Mutex
	command      *exec.Cmd
	incarnation  int
	faultLock    sync.Mutex // held by the fault that signals its process
	exitExpected bool       // the soak ends the process
	shutdowns    spans      // each from a SIGTERM until the next start
	exited       chan struct{}
}

// program starts processes of the rlb-node binary and reports unexpected exits.
type program struct {
	path   string
	folder string
	report func(kind, what string)
}

// start starts a process for an instance.
func (p *program) start(inst *instance) error {
	out, err := os.OpenFile(filepath.Join(p.folder, inst.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log of %s: %w", inst.name, err)
	}
	command := exec.Command(p.path, "--settings", inst.settingsPath)
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", inst.name, err)
	}
	inst.mu.Lock()
	defer inst.mu.Unlock()
	now := time.Now()
	exited := make(chan struct{})
	inst.command, inst.exitExpected, inst.exited = command, false, exited
	if n := len(inst.shutdowns); n > 0 && inst.shutdowns[n-1].to.IsZero() {
		inst.shutdowns[n-1].to = now
	}
	inst.incarnation++
	inst.disturb(now, now.Add(restartSettleTime))
	go func() {
		err := command.Wait()
		_ = out.Close()
		inst.mu.Lock()
		expected := inst.exitExpected
		inst.mu.Unlock()
		if !expected {
			p.report("exit", fmt.Sprintf("%s exited unexpectedly: %v", inst.name, err))
		}
		close(exited)
	}()
	return nil
}

// signal sends a signal to the instance's process.
func (inst *instance) signal(s os.Signal) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if inst.command != nil {
		_ = inst.command.Process.Signal(s) // the process may have exited already
	}
}

// terminate sends a signal and waits for the process to exit; after timeout it
// sends SIGKILL. The exit counts as expected.
func (inst *instance) terminate(s os.Signal, timeout time.Duration) {
	inst.mu.Lock()
	inst.exitExpected = true
	if s == syscall.SIGTERM {
		inst.shutdowns = append(inst.shutdowns, span{from: time.Now()})
	}
	exited := inst.exited
	inst.mu.Unlock()
	inst.signal(s)
	select {
	case <-exited:
	case <-time.After(timeout):
		inst.disturb(time.Now(), time.Now().Add(restartSettleTime))
		inst.signal(syscall.SIGCONT)
		inst.signal(syscall.SIGKILL)
		<-exited
	}
}

// notShuttingDown reports whether no shutdown overlaps the period between two
// moments.
func (inst *instance) notShuttingDown(from, to time.Time) bool {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	return !inst.shutdowns.overlap(from, to)
}

// currentIncarnation returns the number of starts so far.
func (inst *instance) currentIncarnation() int {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	return inst.incarnation
}
