package rlbfakedeployment

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Deployment is a small deployment: an object store with a config, and replicas of
// one model service and one plain service, all served by this process.
type Deployment struct {
	Store    *Store
	Replicas []*Replica
	Example  string // arguments of a curl command that streams an answer, without the URL
}

// DeploymentOpts configure a deployment.
type DeploymentOpts struct {
	Host    string        // IP
	Port    int           // port of the store; the replicas use the ports after it
	Domains []string      // failure domains; each has a replica of the model service and of the plain service
	Step    time.Duration // between two events of a stream
}

// Names of the services and routes of the deployment.
const (
	routeHost    = "fleet.example"
	modelService = "planner"
	plainService = "dispatch"
	draftPath    = "/draft/"
)

var models = []Spec{
	{Name: "draft-8g", WeightsMb: 72000, LoadS: 4, WarmS: 1, DiskS: 2, Adapters: 4, AdapterMb: 66},
	{Name: "plan-8g", WeightsMb: 72000, LoadS: 4, WarmS: 1, DiskS: 2, Adapters: 2, AdapterMb: 66},
	{Name: "ask-4g", WeightsMb: 42000, LoadS: 3, WarmS: 1, DiskS: 2, Adapters: 4, AdapterMb: 12},
}

// Capacity of a replica.
const (
	engineMb     = 200000
	adapterSlots = 8
	engineSlots  = 16
	plainSlots   = 6
)

// NewDeployment starts a deployment and returns it with a function that stops it.
func NewDeployment(opts DeploymentOpts) (*Deployment, func(), error) {
	d := &Deployment{Store: NewStore()}
	var servers []*http.Server
	cleanUp := func() {
		for _, server := range servers {
			_ = server.Close() // the deployment ends with the process
		}
	}
	serve := func(port int, handler http.Handler) (string, error) {
		listener, err := net.Listen("tcp", net.JoinHostPort(opts.Host, strconv.Itoa(port)))
		if err != nil {
			return "", err
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: maxWatchWait}
		servers = append(servers, server)
		go func() { _ = server.Serve(listener) }()
		return listener.Addr().String(), nil
	}
	if _, err := serve(opts.Port, d.Store); err != nil {
		return nil, cleanUp, err
	}
	d.Store.Set("config", "main", Config(ConfigOpts{Version: 1, MemoryMb: engineMb, AdapterSlots: adapterSlots}))
	specs := map[string]Spec{}
	for _, m := range models {
		specs[m.Name] = m
	}
	for n, domain := range opts.Domains {
		for k, service := range []string{modelService, plainService} {
			r := NewReplica(ReplicaOpts{
				ID: fmt.Sprintf("%s-%d", service, n+1), Service: service, Domain: domain, Slots: []int{engineSlots, plainSlots}[k],
				MemoryMb: engineMb, Adapters: adapterSlots, Models: specs, Fencing: true, Step: opts.Step,
				Address: net.JoinHostPort(opts.Host, strconv.Itoa(opts.Port+1+2*n+k)),
			})
			if _, err := serve(opts.Port+1+2*n+k, r); err != nil {
				return nil, cleanUp, err
			}
			d.Store.Set("servers", r.opts.ID, r.Entry("ready"))
			d.Replicas = append(d.Replicas, r)
		}
	}
	d.Example = "-H 'Host: " + routeHost + "' -H 'X-Request-Id: 9c41d07be2a35f68' -H 'X-Model: " + models[0].Name +
		"' -H 'X-Token-Count: 10,8' -H 'X-Request-Deadline: 15000' -d prompt"
	return d, cleanUp, nil
}

// Refresh writes the current entries of all replicas to the store.
func (d *Deployment) Refresh() {
	for _, r := range d.Replicas {
		r.mu.Lock()
		r.completeOrder()
		r.mu.Unlock()
		d.Store.Set("servers", r.opts.ID, r.Entry("ready"))
	}
}

// ConfigOpts describe a version of the config.
type ConfigOpts struct {
	Version      uint64
	MemoryMb     float64 // memory of an engine
	AdapterSlots int
	ExtraPaths   []string // path prefixes of further routes to the plain service whose requests are safe to retry, open without a key
	Workspaces   []Workspace
}

// Workspace is a workspace in the config.
type Workspace struct {
	Name  string   `json:"Name"`
	Keys  []string `json:"ApiKeys"`
	Rate  float64  `json:"RatePerS"` // requests; 0: no limit
	Burst float64  `json:"Burst"`
}

// Config returns a version of the config.
func Config(opts ConfigOpts) map[string]any {
	routes := []map[string]any{
		{"Name": "draft", "Host": routeHost, "PathPrefix": draftPath, "Kind": "streaming", "TimeoutMs": 15000, "TargetLatencyMs": 600,
			"Priority": 0, "Service": modelService, "MaxAttempts": 2, "Resumable": true, "GapAimMs": 300},
		{"Name": "assign", "Host": routeHost, "PathPrefix": "/assign/", "Kind": "unsafe", "TimeoutMs": 800, "TargetLatencyMs": 150,
			"Priority": 1, "Service": plainService, "MaxAttempts": 2},
	}
	for _, path := range append([]string{"/lookup/"}, opts.ExtraPaths...) {
		routes = append(routes, map[string]any{"Name": strings.Trim(path, "/"), "Host": routeHost, "PathPrefix": path, "Kind": "safe", "TimeoutMs": 800,
			"TargetLatencyMs": 150, "Priority": 1, "Service": plainService, "MaxAttempts": 2, "PublicAccess": path != "/lookup/"})
	}
	config := map[string]any{
		"Version": opts.Version,
		"Routes":  routes,
		"Services": []map[string]any{
			{"Name": modelService, "HealthPath": "/health", "MaxConns": 360, "Engine": map[string]any{
				"Slots": engineSlots, "KvTokens": 100000, "Stride": 1, "WeightsMb": opts.MemoryMb, "AdapterSlots": opts.AdapterSlots, "LoadsPerS": 1, "Models": models,
			}},
			{"Name": plainService, "HealthPath": "/health", "MaxConns": 96},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
	if len(opts.Workspaces) > 0 {
		config["Tenants"] = opts.Workspaces
	}
	return config
}
