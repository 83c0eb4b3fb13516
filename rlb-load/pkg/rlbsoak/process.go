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
	grace      = 8 * time.Second // between SIGTERM and SIGKILL
	settleSlow = 700 * time.Millisecond
)

// instance is a row of the table of instances: one process at a time.
type instance struct {
	name     string
	domain   string
	callers  string // addresses
	ready    string
	settings string // path
	port     int    // the first of its ports
	store    *proxy
	peers    *proxy

	disturbances
	mu       sync.Mutex
	command  *exec.Cmd
	life     int
	handled  sync.Mutex // held by the trouble that stops and starts it
	expected bool       // its end was caused by the soak
	leaves   spans      // from a SIGTERM until the next start
	gone     chan struct{}
}

// program starts the instances' program and hears of its ends.
type program struct {
	path   string
	folder string
	report func(kind, what string)
}

// start starts the instance's process.
func (p *program) start(x *instance) error {
	out, err := os.OpenFile(filepath.Join(p.folder, x.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log of %s: %w", x.name, err)
	}
	command := exec.Command(p.path, "--settings", x.settings)
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", x.name, err)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	gone := make(chan struct{})
	x.command, x.expected, x.gone = command, false, gone
	if n := len(x.leaves); n > 0 && x.leaves[n-1].to.IsZero() {
		x.leaves[n-1].to = now
	}
	x.life++
	x.hurts(now, now.Add(settleSlow))
	go func() {
		err := command.Wait()
		_ = out.Close()
		x.mu.Lock()
		expected := x.expected
		x.mu.Unlock()
		if !expected {
			p.report("exit", fmt.Sprintf("%s ended by itself: %v", x.name, err))
		}
		close(gone)
	}()
	return nil
}

// signal sends a signal to the instance's process.
func (x *instance) signal(s os.Signal) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.command != nil {
		_ = x.command.Process.Signal(s) // it may have ended already
	}
}

// end marks the coming end as the soak's doing, sends a signal, and waits.
func (x *instance) end(s os.Signal, longest time.Duration) {
	x.mu.Lock()
	x.expected = true
	if s == syscall.SIGTERM {
		x.leaves = append(x.leaves, span{from: time.Now()})
	}
	gone := x.gone
	x.mu.Unlock()
	x.signal(s)
	select {
	case <-gone:
	case <-time.After(longest):
		x.hurts(time.Now(), time.Now().Add(settleSlow))
		x.signal(syscall.SIGCONT)
		x.signal(syscall.SIGKILL)
		<-gone
	}
}

// stays reports whether the instance was not shutting down between two moments.
func (x *instance) stays(from, to time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.leaves.touch(from, to)
}

// number returns the instance's life.
func (x *instance) number() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.life
}
