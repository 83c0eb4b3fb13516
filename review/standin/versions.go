package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rhubarblb/rhubarblb/rlb-standin/pkg/rlbfakedeployment"
)

// Deployment and traffic of the cases with software versions.
const (
	nodesPerZone  = 2
	streamPieces  = 60                    // events of a stream
	streamStep    = 25 * time.Millisecond // between two events
	streamsPerSec = 120                   // new streams, of all consumers
	releasePause  = 7 * time.Second       // between two releases, longer than any stream can be taken up
)

var versionModel = rlbfakedeployment.Spec{Name: "m0", WeightsMb: weightsMb, LoadS: 5, WarmS: 1.3, DiskS: 1.7}

// newVersionFleet starts a fleet with two nodes in each zone and replicas of version v1.
func newVersionFleet(rec *record, replicas int) (*fleet, error) {
	f, err := newFleet(rec)
	if err != nil {
		return nil, err
	}
	f.store.Set("config", "main", hangConfig([]rlbfakedeployment.Spec{versionModel}))
	for i := range replicas {
		f.addVersion(i, "v1")
	}
	if err := f.startReplicas(); err != nil {
		return f, err
	}
	return f, f.startTwoNodesPerZone()
}

func (f *fleet) startTwoNodesPerZone() error {
	for _, zone := range zones {
		for i := range nodesPerZone {
			if _, err := f.addNode(fmt.Sprintf("front-%s-%d", zone, i+1), zone); err != nil {
				return err
			}
		}
	}
	return f.startNodes()
}

// addVersion adds a replica of a software version, without starting it.
func (f *fleet) addVersion(number int, version string) *replica {
	r := f.addReplica(rlbfakedeployment.ReplicaOpts{
		ID: fmt.Sprintf("i-%02d", number), Service: "planner", Domain: zones[number%len(zones)], Slots: 64, MemoryMb: 200000, Adapters: 8,
		Models: map[string]rlbfakedeployment.Spec{versionModel.Name: versionModel}, Fencing: true, Loaded: []string{versionModel.Name}, Version: version,
	}, 0)
	r.inner.Intercept = streamEvents(version)
	return r
}

// zone returns the nodes of a zone.
func (f *fleet) zone(i int) []*node { return f.nodes[i*nodesPerZone : (i+1)*nodesPerZone] }

// sendStreams begins new streams, in each zone in turn, until the returned function is
// called, which waits for those that have begun.
func (f *fleet) sendStreams(consume func(zone []*node)) (stop func()) {
	ended := make(chan struct{})
	var consumers sync.WaitGroup
	consumers.Go(func() {
		ticker := time.NewTicker(time.Second / streamsPerSec)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ended:
				return
			case <-ticker.C:
			}
			consumers.Go(func() { consume(f.zone(i % len(zones))) })
		}
	})
	return func() {
		close(ended)
		consumers.Wait()
	}
}

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
		for n := last + 1; n <= streamPieces; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, version); err != nil || control.Flush() != nil {
				return true
			}
			select {
			case <-req.Context().Done():
				panic(http.ErrAbortHandler)
			case <-time.After(streamStep):
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
	request.Header.Set("X-Token-Count", "10,"+strconv.Itoa(streamPieces))
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
