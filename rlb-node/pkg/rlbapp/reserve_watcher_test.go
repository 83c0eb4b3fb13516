package rlbapp

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbobject"
)

const (
	domainsOfFleet = 3
	// stretchedBound is the time in which a change reaches the instances that the object API
	// serves while it turns away others.
	stretchedBound = 7 * time.Second
)

// startLargeFleet starts domains with a number of instances each, in the order of their names
// within a domain.
func startLargeFleet(domains, perDomain int) *testFleet {
	f := newTestFleet()
	for d := range domains {
		for n := range perDomain {
			f.instances = append(f.instances, f.add(fmt.Sprintf("%c%03d", 'a'+d, n), fmt.Sprint(d), fmt.Sprintf("10.0.%d.%d:1", d, n)))
		}
	}
	for _, i := range f.instances {
		f.start(i)
	}
	time.Sleep(3 * time.Second)
	return f
}

// TestServedInstancesLearnOfChangesWhateverOthersAreTurnedAway guards against instances that
// keep an old config though the object API would answer them: they relied on the first three of
// their domain, which said that it turns them away.
func TestServedInstancesLearnOfChangesWhateverOthersAreTurnedAway(t *testing.T) {
	const perDomain = 9
	for name, turnedAway := range map[string]func(n int) bool{
		"the first three of each domain":         func(n int) bool { return n%perDomain < 3 },
		"all but the last of each domain":        func(n int) bool { return n%perDomain < perDomain-1 },
		"the first five of two domains":          func(n int) bool { return n%perDomain < 5 && n < 2*perDomain },
		"two domains, and half of the third one": func(n int) bool { return n < 2*perDomain+5 },
		"a third of all":                         func(n int) bool { return rand.New(rand.NewPCG(48, uint64(n))).IntN(3) == 0 },
		"all but one":                            func(n int) bool { return n != 2*perDomain-2 },
	} {
		for how, turnAway := range map[string]func(i *testInstance){
			"get no answer": func(i *testInstance) { i.cut.Store(true) },
			"are refused":   func(i *testInstance) { i.refused.Store(true) },
		} {
			t.Run(name+" "+how, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := startLargeFleet(domainsOfFleet, perDomain)
					defer f.stop()
					for n, i := range f.instances {
						if turnedAway(n) {
							turnAway(i)
						}
					}
					time.Sleep(700 * time.Millisecond)
					f.store.append(rlbobject.Object{Name: "leaves", Value: []byte(`"leaving"`)})
					time.Sleep(stretchedBound)
					for _, i := range f.instances {
						if i.used("leaves") && !i.cut.Load() && !i.refused.Load() {
							t.Errorf("%s still uses the endpoint", i.name)
						}
					}
				})
			})
		}
	}
}

// TestOutageBringsFewCalls guards against a fleet that keeps the object API from coming back:
// within a second the instances of 22 domains together make no more calls than it reads.
func TestOutageBringsFewCalls(t *testing.T) {
	const perDomain, readsPerSecond, domains = 32, 2000, 22
	synctest.Test(t, func(t *testing.T) {
		f := startLargeFleet(1, perDomain)
		defer f.stop()
		calls := func() (sum int64) {
			for _, i := range f.instances {
				sum += i.calls.Load()
			}
			return sum
		}
		for _, i := range f.instances {
			i.refused.Store(true)
		}
		for range 20 {
			before := calls()
			time.Sleep(time.Second)
			if n := calls() - before; n*domains > readsPerSecond {
				t.Errorf("%d calls of %d instances in a second of an outage", n, len(f.instances))
			}
		}
	})
}
