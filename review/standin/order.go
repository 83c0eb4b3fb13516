package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakedeployment"
)

// Deployment and traffic of the case.
const (
	orderNodesPerZone = 2
	orderEvents       = 60
	orderStep         = 25 * time.Millisecond  // between two events
	orderStreams      = 60                     // new streams a second
	releaseCrash      = 300 * time.Millisecond // from the first stream at the new replica until it crashes
	releasePause      = 7 * time.Second        // between two releases, longer than any stream can be taken up
	orderTimeLimit    = 75 * time.Second       // no further release begins then
	maxMixedStreams   = 2                      // by the rule
)

// piece is an event that a consumer got.
type piece struct {
	number  int
	version string
}

// streamEvents makes a replica write events that name its software version.
func streamEvents(version string) func(http.ResponseWriter, *http.Request, int) bool {
	return func(w http.ResponseWriter, req *http.Request, _ int) bool {
		last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Server-Stamp", "stamp."+version)
		control := http.NewResponseController(w)
		for n := last + 1; n <= orderEvents; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, version); err != nil || control.Flush() != nil {
				return true
			}
			select {
			case <-req.Context().Done():
				panic(http.ErrAbortHandler)
			case <-time.After(orderStep):
			}
		}
		return true
	}
}

// readPieces reads events until the stream ends. It reports whether it ended as complete.
func readPieces(response *http.Response) (pieces []piece, complete bool) {
	reader := bufio.NewReader(response.Body)
	var event bytes.Buffer
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return pieces, err.Error() == "EOF" && event.Len() == 0
		}
		if line != "\n" {
			event.WriteString(line)
			continue
		}
		id, data, _ := strings.Cut(strings.TrimSuffix(event.String(), "\n"), "\n")
		number, _ := strconv.Atoi(strings.TrimPrefix(id, "id: "))
		pieces = append(pieces, piece{number, strings.TrimPrefix(data, "data: ")})
		event.Reset()
	}
}

// try sends a streaming request, or takes a stream up after last.
func try(n *node, id, resumes string, last int, limit time.Duration) (pieces []piece, status int, complete bool) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.callers+"/draft/x", strings.NewReader("prompt"))
	request.Host = "fleet.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Model", "m0")
	request.Header.Set("X-Token-Count", "10,"+strconv.Itoa(orderEvents))
	request.Header.Set("X-Prompt-Prefix", "5c1e07a2:8,"+id[:8]+":2")
	request.Header.Set("X-Request-Deadline", strconv.FormatInt(limit.Milliseconds(), 10))
	if last > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(last))
		request.Header.Set("Resumes", resumes)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return nil, 0, false
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, response.StatusCode, false
	}
	pieces, complete = readPieces(response)
	return pieces, response.StatusCode, complete
}

// orderCount counts what consumers saw.
type orderCount struct {
	mu                                  sync.Mutex
	streams, takenUp, wentOn, mixed, ok int
}

// consume asks for one stream at a node of a zone and takes it up once, at the other node
// of the zone, if its channel breaks.
func consume(rec *record, zone []*node, count *orderCount) {
	first := rand.IntN(len(zone))
	id, limit := newID(), time.Now().Add(routeTimeout)
	pieces, _, complete := try(zone[first], id, "", 0, routeTimeout)
	takenUp, wentOn, second := false, false, ""
	if len(pieces) > 0 && !complete {
		takenUp, second = true, newID()
		rest, status, ended := try(zone[(first+1)%len(zone)], second, id, pieces[len(pieces)-1].number, time.Until(limit))
		wentOn, complete = len(rest) > 0, ended
		rec.printf("stream %s of %s broke after event %d (%s); taken up at %s as %s: status %d, %d more events", id, zone[first].name,
			pieces[len(pieces)-1].number, pieces[len(pieces)-1].version, zone[(first+1)%len(zone)].name, second, status, len(rest))
		pieces = append(pieces, rest...)
	}
	versions := map[string]bool{}
	for _, p := range pieces {
		versions[p.version] = true
	}
	count.mu.Lock()
	defer count.mu.Unlock()
	count.streams++
	if takenUp {
		count.takenUp++
	}
	if wentOn {
		count.wentOn++
	}
	if complete {
		count.ok++
	}
	if len(versions) > 1 {
		count.mixed++
		rec.printf("stream %s holds events of %d versions: %v", id, len(versions), versions)
	}
}

// order plays releases of a version whose first replica crashes soon after its start.
func order(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec)
	if err != nil {
		return false, err
	}
	defer f.stop()
	model := rlbfakedeployment.Spec{Name: "m0", WeightsMb: weightsMb, LoadS: 5, WarmS: 1.3, DiskS: 1.7}
	specs := map[string]rlbfakedeployment.Spec{model.Name: model}
	f.store.Set("config", "main", hangConfig([]rlbfakedeployment.Spec{model}))
	add := func(id, zone, version string) *replica {
		r := f.addReplica(rlbfakedeployment.ReplicaOpts{ID: id, Service: "planner", Domain: zone, Slots: 64, MemoryMb: 200000, Adapters: 8, Models: specs,
			Fencing: true, Loaded: []string{model.Name}, Version: version}, 0)
		r.inner.Intercept = streamEvents(version)
		return r
	}
	for i, zone := range zones {
		add(fmt.Sprintf("i-%02d", i), zone, "v1")
	}
	if err := f.startReplicas(); err != nil {
		return false, err
	}
	var byZone [][]*node
	for _, zone := range zones {
		var nodes []*node
		for i := range orderNodesPerZone {
			n, err := f.addNode(fmt.Sprintf("front-%s-%d", zone, i+1), zone)
			if err != nil {
				return false, err
			}
			nodes = append(nodes, n)
		}
		byZone = append(byZone, nodes)
	}
	if err := f.startNodes(); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	count, stop := &orderCount{}, make(chan struct{})
	var consumers sync.WaitGroup
	consumers.Go(func() {
		ticker := time.NewTicker(time.Second / orderStreams)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			consumers.Go(func() { consume(rec, byZone[i%len(byZone)], count) })
		}
	})
	end := time.Now().Add(orderTimeLimit)
	for release := 0; time.Now().Before(end); release++ {
		time.Sleep(releasePause)
		if err := playRelease(rec, add(fmt.Sprintf("i-%02d", 10+release), zones[release%len(zones)], fmt.Sprintf("v%d", 2+release)), trouble); err != nil {
			return false, err
		}
		if count.mu.Lock(); count.mixed > maxMixedStreams {
			count.mu.Unlock()
			break
		}
		count.mu.Unlock()
	}
	time.Sleep(2 * time.Second)
	close(stop)
	consumers.Wait()
	rec.printf("%d streams, %d complete; %d taken up, %d of them went on; %d hold events of two versions (more than %d break the rule)",
		count.streams, count.ok, count.takenUp, count.wentOn, count.mixed, maxMixedStreams)
	return count.mixed > maxMixedStreams, nil
}

// playRelease starts a replica of a new version. It crashes soon after its first stream and
// does not come back, as the operator ends the release; without the disruption it serves on
// and then leaves.
func playRelease(rec *record, r *replica, trouble bool) error {
	if err := r.serve(); err != nil {
		return err
	}
	r.register()
	rec.printf("replica %s of a new version joins", r.id)
	for end := time.Now().Add(3 * time.Second); len(r.inner.Runs()) == 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	if trouble {
		time.Sleep(releaseCrash)
		rec.printf("replica %s crashes with %d streams begun", r.id, len(r.inner.Runs()))
		r.crash()
		time.Sleep(3 * heartbeat)
		r.fleet.store.Remove("servers", r.id)
		return nil
	}
	time.Sleep(2 * time.Second)
	r.fleet.store.Set("servers", r.id, r.inner.Entry("draining"))
	time.Sleep(routeTimeout)
	r.fleet.store.Remove("servers", r.id)
	return nil
}
