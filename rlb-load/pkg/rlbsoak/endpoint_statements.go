package rlbsoak

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// endpointSaysLeaving makes an endpoint state in its answers that it leaves, while its
// entry goes on to say that it is ready, and then end.
func (inj *injector) endpointSaysLeaving() error {
	e, unlock := inj.lockRedundantEndpoint()
	defer unlock()
	if e == nil {
		return nil
	}
	e.replica.SetLeaving()
	e.recordStatement(time.Now())
	time.Sleep(drainTime + inj.randomDuration(300*time.Millisecond, 3*time.Second))
	e.setState(inj.deployment.store, "")
	e.endStatement(time.Now())
	inj.crash(e, inj.randomDuration(time.Second, 3*time.Second))
	return nil
}

// endpointRefuses makes an endpoint refuse all requests with a Retry-After.
func (inj *injector) endpointRefuses() error {
	e, unlock := inj.lockRedundantEndpoint()
	defer unlock()
	if e == nil {
		return nil
	}
	d := inj.randomDuration(time.Second, 4*time.Second)
	e.disturb(time.Now(), time.Now().Add(d))
	e.replica.Refuse(strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	time.Sleep(d)
	e.replica.Refuse("")
	return nil
}

// retryAfter is the Retry-After of an endpoint that refuses requests.
const retryAfter = 1500 * time.Millisecond

// oddEntry leaves an entry among those of the endpoints that names none.
func (inj *injector) oddEntry() error {
	good, err := json.Marshal(inj.randomEndpoint().replica.Entry(stateReady))
	if err != nil {
		return err
	}
	const depth = 5000 // the stand-in of the store refuses to list what is nested more deeply
	odd := []string{
		`7`, `{"Service":7}`, strings.Repeat("[", depth) + strings.Repeat("]", depth),
		strings.Replace(string(good), `"Slots":`, `"Slots":9e99,"Was":`, 1),
		strings.Replace(string(good), `"Address":"`, `"Address":"127.0.0.1:99999","Was":"`, 1),
	}[inj.rng.IntN(5)]
	name := fmt.Sprintf("odd-%d", inj.rng.Uint64())
	inj.deployment.store.SetRaw("servers", name, []byte(odd))
	time.Sleep(inj.randomDuration(time.Second, 5*time.Second))
	inj.deployment.store.Remove("servers", name)
	return nil
}

// recordStatement records that the endpoint states in its answers that it leaves.
func (e *endpoint) recordStatement(at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.statements = append(e.statements, span{from: at})
}

// endStatement ends the latest recorded statement.
func (e *endpoint) endStatement(at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.statements[len(e.statements)-1].to = at
}

// checkStatements checks that no instance sent a request to an endpoint longer than
// drainTime after it had passed on an answer that stated that the endpoint leaves, and that
// endpoints that refused with a Retry-After got no further requests of that instance.
func (s *soak) checkStatements(runs map[string][]endpointRun) {
	byID := map[string]exchange{}
	for _, x := range s.exchanges {
		byID[x.id] = x
	}
	for _, e := range s.deployment.endpoints() {
		for _, statement := range e.statements {
			s.checkLeaving(e, statement, runs)
		}
		s.checkRetryAfter(e, byID)
	}
}

func (s *soak) checkLeaving(e *endpoint, statement span, runs map[string][]endpointRun) {
	told := map[*instance]time.Time{}
	atEndpoint := func(yield func(exchange, endpointRun)) {
		for _, x := range s.exchanges {
			for _, run := range runs[x.id] {
				if run.endpoint == e && statement.overlaps(run.Began, run.Began.Add(1)) {
					yield(x, run)
				}
			}
		}
	}
	atEndpoint(func(x exchange, _ endpointRun) {
		if first, known := told[x.instance]; x.status != 0 && (!known || x.ended.Before(first)) {
			told[x.instance] = x.ended
		}
	})
	atEndpoint(func(x exchange, run endpointRun) {
		at, known := told[x.instance]
		if known && run.Began.Sub(at) > drainTime && x.instance.undisturbed(at, run.Began) && !s.stalled(run.Began) {
			s.addFinding("leaving", fmt.Sprintf("%s ran at %s, %s after %s had passed on that it leaves", x.id, e.id, run.Began.Sub(at), x.instance.name))
		}
	})
}

// maxEarlyRequests is how many requests may reach an endpoint from one instance before its
// Retry-After has passed, from half a second on; requests in flight are none.
const maxEarlyRequests = 2

func (s *soak) checkRetryAfter(e *endpoint, byID map[string]exchange) {
	first, early := map[*instance]time.Time{}, map[*instance]int{}
	for _, refusal := range e.replica.Refusals() {
		x, known := byID[refusal.ID]
		if !known {
			continue
		}
		since := refusal.At.Sub(first[x.instance])
		switch {
		case since >= retryAfter:
			first[x.instance], early[x.instance] = refusal.At, 0
		case since > retryAfter/3:
			early[x.instance]++
		}
		if early[x.instance] > maxEarlyRequests && x.instance.undisturbed(first[x.instance], refusal.At) {
			s.addFinding("retry-after", fmt.Sprintf("%s reached %s %s after it had refused a request of %s for %s", x.id, e.id, since, x.instance.name, retryAfter))
		}
	}
}
