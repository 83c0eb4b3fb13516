package rlbintake

import (
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"
)

// What is left beside clients' connections.
const (
	fileDescriptors = 200      // descriptors for files
	maxDescriptors  = 1 << 20  // of a process that has no limit
	minConnections  = 8        // of a listener
	minMemory       = 64 << 20 // bytes
	defaultKept     = 32 << 20 // bytes of bodies, or of answers, that are kept by default
)

// Shares of the machine.
const (
	clientShare  = 0.4      // of its memory, for what clients make the process hold
	heapShare    = 2.0 / 3  // of its memory, at which the garbage collector works harder
	CallerShare  = 1.0 / 2  // of the sockets, for connections of callers; their requests need others
	ControlShare = 1.0 / 8  // for connections of other processes
	StatusShare  = 1.0 / 32 // for connections of checks and operators
)

// Machine is what a process may use.
type Machine struct {
	memory  int64 // bytes
	sockets int
}

// ReadMachine returns what the settings state. What they do not is the machine's memory and
// the process's limit of descriptors.
func ReadMachine(settings *rlbsettings.Settings) Machine {
	memory, descriptors := int64(settings.Bytes(rlbsettings.InstanceMemory)), settings.Int(rlbsettings.InstanceDescriptors)
	if memory == 0 {
		memory = machineMemory()
	}
	if descriptors == 0 {
		descriptors = descriptorLimit()
	}
	return Machine{memory: max(memory, minMemory), sockets: descriptors - fileDescriptors}
}

// Connections returns how many connections a listener with a share of the sockets accepts.
func (m Machine) Connections(share float64) int {
	return max(minConnections, int(float64(m.sockets)*share))
}

// ClientBytes returns how many bytes clients may make the process hold.
func (m Machine) ClientBytes() int64 { return int64(clientShare * float64(m.memory)) }

// BodyBytes returns how many of these the bodies of the requests in flight may have; 0 for
// the default of who reads them.
func (m Machine) BodyBytes() int64 { return belowDefault(m.ClientBytes() / 2) }

// AnswerBytes returns how many bytes of answers the process may keep; 0 for the default of
// who reads them.
func (m Machine) AnswerBytes() int64 { return belowDefault(m.memory / 6) }

// belowDefault returns bytes if they are less than what is kept by default.
func belowDefault(bytes int64) int64 {
	if bytes >= defaultKept {
		return 0
	}
	return bytes
}

// LimitHeap makes the garbage collector work harder when the heap nears the memory.
func (m Machine) LimitHeap() { debug.SetMemoryLimit(int64(heapShare * float64(m.memory))) }

// machineMemory returns the memory of the machine; 0: it is not known.
func machineMemory() int64 {
	info, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(info)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "MemTotal:" {
			kib, _ := strconv.ParseInt(fields[1], 10, 64) // 0 if it is no number
			return kib << 10
		}
	}
	return 0
}

func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return maxDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}
