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

// Terms of processes.
const (
	grace             = 8 * time.Second // between SIGTERM and SIGKILL
	restartSettleTime = 700 * time.Millisecond
)

// instance is a row of the table of instances: one process at a time.
type instance struct {
	name             string
	domain           string
	callerAddress    string // addresses
	readinessAddress string
	settingsPath     string // path
	firstPort        int    // the first of its ports
	storeProxy       *proxy
	peerProxy        *proxy

	disturbances
	mu           sync.Mutex
	command      *exec.Cmd
	incarnation  int
	faultLock    sync.Mutex // held by the trouble that stops and starts it
	exitExpected bool       // its end was caused by the soak
	shutdowns    spans      // from a SIGTERM until the next start
	exited       chan struct{}
}

// program starts the instances' program and hears of its ends.
type program struct {
	path   string
	folder string
	report func(kind, what string)
}

// start starts the instance's process.
func (p *program) start(inst *instance) error {
	out, err := os.OpenFile(filepath.Join(p.folder, inst.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log of %s: %w", inst.name, err)
	}
	command := exec.Command(p.path, "--settings", inst.settingsPath)
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", inst.name, err)
	}
	inst.mu.Lock()
	defer inst.mu.Unlock()
	now := time.Now()
	gone := make(chan struct{})
	inst.command, inst.exitExpected, inst.exited = command, false, gone
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
			p.report("exit", fmt.Sprintf("%s ended by itself: %v", inst.name, err))
		}
		close(gone)
	}()
	return nil
}

// signal sends a signal to the instance's process.
func (inst *instance) signal(s os.Signal) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if inst.command != nil {
		_ = inst.command.Process.Signal(s) // it may have ended already
	}
}

// terminate marks the coming end as the soak's doing, sends a signal, and waits.
func (inst *instance) terminate(s os.Signal, longest time.Duration) {
	inst.mu.Lock()
	inst.exitExpected = true
	if s == syscall.SIGTERM {
		inst.shutdowns = append(inst.shutdowns, span{from: time.Now()})
	}
	gone := inst.exited
	inst.mu.Unlock()
	inst.signal(s)
	select {
	case <-gone:
	case <-time.After(longest):
		inst.disturb(time.Now(), time.Now().Add(restartSettleTime))
		inst.signal(syscall.SIGCONT)
		inst.signal(syscall.SIGKILL)
		<-gone
	}
}

// notShuttingDown reports whether the instance was not shutting down between two moments.
func (inst *instance) notShuttingDown(from, to time.Time) bool {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	return !inst.shutdowns.overlap(from, to)
}

// currentIncarnation returns the instance's life.
func (inst *instance) currentIncarnation() int {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	return inst.incarnation
}
