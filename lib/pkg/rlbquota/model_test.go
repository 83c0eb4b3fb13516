package rlbquota

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbdeployment"
)

const (
	modelStep     = 10 * time.Millisecond
	publishPeriod = 250 * time.Millisecond
	window        = 8 * time.Second
	tolerance     = 1.1   // of the rule for windows
	slack         = 11000 // tokens that the rule for windows allows beyond the tolerance
)

// modelInstance is an instance of a modelFleet.
type modelInstance struct {
	name, domain string
	limiter      *Limiter
	incarnation  int64
	sequence     uint64
	phase        time.Duration // when it publishes within each period
	down         bool
	cut          bool // reaches no other instance and still serves callers
	frozen       bool
}

// delivery is a message on its way.
type delivery struct {
	at     time.Time
	to     *modelInstance
	domain bool
	m      Message
	usages []Usage
}

// admission is a request that was admitted.
type admission struct {
	at   time.Time
	cost float64
}

// modelFleet is instances whose messages are delayed and lost. Time goes in steps.
type modelFleet struct {
	now       time.Time
	random    *rand.Rand
	domains   int
	instances []*modelInstance
	pending   []delivery
	delay     time.Duration // longest of a message
	loss      float64
	split     string // failure domain that is cut off from the others
	quota     rlbdeployment.Quota
	asked     []admission
	admitted  []admission
}

func newModelFleet(size, domains int, perSecond, burst float64, seed uint64) *modelFleet {
	f := &modelFleet{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 3)), domains: domains, delay: 40 * time.Millisecond, loss: 0.025,
		quota: rlbdeployment.NewQuota(perSecond, burst, rlbdeployment.UnitTokens, 200),
	}
	for n := range size {
		i := &modelInstance{name: strconv.Itoa(1000 + n), domain: strconv.Itoa(n % domains), phase: time.Duration(f.random.Int64N(int64(publishPeriod/modelStep))) * modelStep}
		f.instances = append(f.instances, i)
		f.start(i)
	}
	return f
}

// start starts an instance anew.
func (f *modelFleet) start(i *modelInstance) {
	i.incarnation++
	i.down = false
	i.limiter = New(Opts{Now: func() time.Time { return f.now }, Random: f.random.Float64, Domain: i.domain, Registered: f.registered, InForce: inForce})
}

// registered returns the numbers of instances by failure domain.
func (f *modelFleet) registered() map[string]int {
	n := map[string]int{}
	for _, i := range f.instances {
		n[i.domain]++
	}
	return n
}

func inForce() bool { return true }

// send sends a message to an instance, unless it gets lost.
func (f *modelFleet) send(from, to *modelInstance, domain bool, m Message, usages []Usage) {
	isolated := from.cut || to.cut || from.domain != to.domain && (from.domain == f.split || to.domain == f.split)
	if from == to || isolated || f.random.Float64() < f.loss {
		return
	}
	f.pending = append(f.pending, delivery{f.now.Add(time.Duration(f.random.Float64() * float64(f.delay))), to, domain, m, usages})
}

// publish sends the digest of an instance, and the summary of its domain if it is the
// delegate.
func (f *modelFleet) publish(i *modelInstance) {
	i.sequence++
	usages := i.limiter.Usages()
	delegate, members := true, 1
	for _, other := range f.instances {
		if other.domain != i.domain || other == i {
			continue
		}
		f.send(i, other, false, Message{Source: i.name, Sender: i.name, Incarnation: i.incarnation, Sequence: i.sequence}, usages)
		if s := i.limiter.sources["i/"+other.name]; s != nil && !s.silent(f.now) {
			members++
			delegate = delegate && other.name > i.name
		}
	}
	if !delegate {
		return
	}
	summary, known := i.limiter.DomainUsages()
	if !known {
		return
	}
	for _, other := range f.instances {
		if other.domain != i.domain {
			f.send(i, other, true, Message{Source: i.domain, Sender: i.name, Incarnation: i.incarnation, Sequence: i.sequence, Members: members}, summary)
		}
	}
}

// deliver lets the messages that are due arrive.
func (f *modelFleet) deliver() {
	slices.SortStableFunc(f.pending, func(a, b delivery) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	kept := f.pending[:0]
	for _, d := range f.pending {
		switch {
		case d.at.After(f.now) || d.to.frozen:
			kept = append(kept, d)
		case d.to.down:
		case d.domain:
			d.to.limiter.ApplyDomain(d.m, d.usages)
		default:
			d.to.limiter.ApplyInstance(d.m, d.usages)
		}
	}
	f.pending = kept
}

// ask lets a request arrive at an instance.
func (f *modelFleet) ask(i *modelInstance, cost float64) {
	if i.down || i.frozen {
		return
	}
	f.asked = append(f.asked, admission{f.now, cost})
	if admitted, _ := i.limiter.Admit("w", f.quota, cost); admitted {
		f.admitted = append(f.admitted, admission{f.now, cost})
	}
}

// load is the requests of a workspace at the instances.
type load struct {
	perSecond float64   // tokens
	costs     []float64 // of the requests, drawn evenly
	targets   func(n int) bool
}

// run plays a time with a load.
func (f *modelFleet) run(span time.Duration, l load) {
	mean := 0.0
	for _, c := range l.costs {
		mean += c / float64(len(l.costs))
	}
	var targets []*modelInstance
	for n, i := range f.instances {
		if l.targets == nil || l.targets(n) {
			targets = append(targets, i)
		}
	}
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(modelStep) {
		f.deliver()
		for _, i := range f.instances {
			if !i.down && !i.frozen && time.Duration(f.now.UnixNano())%publishPeriod == i.phase {
				f.publish(i)
			}
		}
		for expected := l.perSecond / mean * modelStep.Seconds(); expected > 0; expected-- {
			if f.random.Float64() < expected {
				f.ask(targets[f.random.IntN(len(targets))], l.costs[f.random.IntN(len(l.costs))])
			}
		}
	}
}

// disturb cuts off, freezes, kills or restarts an instance, splits off a failure domain, or
// ends all of that.
func (f *modelFleet) disturb() {
	i := f.instances[f.random.IntN(len(f.instances))]
	switch f.random.IntN(7) {
	case 0:
		i.cut = true
	case 1:
		i.frozen = !i.frozen
	case 2:
		if !i.frozen {
			f.start(i)
		}
	case 3:
		i.down, i.frozen = true, false
	case 4:
		f.split = i.domain
	default:
		f.heal()
	}
}

// heal ends all disturbances.
func (f *modelFleet) heal() {
	f.split = ""
	for _, i := range f.instances {
		i.cut, i.frozen = false, false
		if i.down {
			f.start(i)
		}
	}
}

// worstWindow returns the largest ratio of what was admitted in a window to what the rule
// allows.
func worstWindow(all []admission, q rlbdeployment.Quota) float64 {
	allowed, worst, total, first := (q.PerSecond()*window.Seconds()+q.Burst())*tolerance+slack, 0.0, 0.0, 0
	for _, a := range all {
		total += a.cost
		for ; a.at.Sub(all[first].at) >= window; first++ {
			total -= all[first].cost
		}
		worst = max(worst, total/allowed)
	}
	return worst
}

// owed returns what one bucket would have admitted of the same requests.
func owed(asked []admission, q rlbdeployment.Quota) float64 {
	level, total := q.Burst(), 0.0
	for n, a := range asked {
		if n > 0 {
			level = math.Min(q.Burst(), level+q.PerSecond()*a.at.Sub(asked[n-1].at).Seconds())
		}
		if level >= math.Min(a.cost, q.Burst()) {
			level -= a.cost
			total += a.cost
		}
	}
	return total
}

// total returns the cost of all requests.
func total(all []admission) float64 {
	sum := 0.0
	for _, a := range all {
		sum += a.cost
	}
	return sum
}
