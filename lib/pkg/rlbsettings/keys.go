package rlbsettings

// The keys, by section. Programs read a value by passing one of these.
var (
	InstanceID     = &Key{"instance", "id", TypeText, "", "", "", "Name of this instance, unique in the fleet.", ForGateway | ForController | ForStandin | ForNode}
	InstanceDomain = &Key{"instance", "failure_domain", TypeText, "", "", "", "Failure domain this instance runs in.", ForGateway | ForController | ForStandin | ForNode}
	InstanceRegion = &Key{"instance", "region", TypeText, "local", "", "", "Region this instance runs in.", ForGateway | ForController | ForNode}

	LogLevel = &Key{"log", "level", TypeText, "info", "", "", "Least severe level that is logged: debug, info, warn, error.", ForGateway | ForController | ForStandin | ForNode}

	PlatformObjects   = &Key{"platform", "objects", TypeAddress, "127.0.0.1:7400", "", "", "Address of the platform's object API.", ForController | ForNode}
	PlatformInstances = &Key{"platform", "instances", TypeAddress, "127.0.0.1:7400", "", "", "Address of the platform's instance list.", ForController}
	PlatformWeights   = &Key{"platform", "weights", TypeAddress, "127.0.0.1:7400", "", "", "Address of the weight store.", ForController | ForStandin}
	PlatformTimeout   = &Key{"platform", "timeout", TypeDuration, "2s", "10ms", "1m", "Longest wait for one answer of the platform.", ForController | ForNode}

	GatewayListen                  = &Key{"gateway", "listen", TypeAddress, "127.0.0.1:7000", "", "", "Address for callers.", ForGateway}
	GatewayControllers             = &Key{"gateway", "controllers", TypeList, "127.0.0.1:7100", "", "", "Control addresses of controllers, the local one first.", ForGateway}
	GatewayMaxBody                 = &Key{"gateway", "max_body", TypeBytes, "1MiB", "1KiB", "64MiB", "Longest request body.", ForGateway}
	GatewayMaxHeader               = &Key{"gateway", "max_header", TypeBytes, "32KiB", "4KiB", "1MiB", "Longest request header.", ForGateway}
	GatewayMaxAnswer               = &Key{"gateway", "max_answer", TypeBytes, "16MiB", "64KiB", "256MiB", "Longest answer that is not a stream.", ForGateway}
	GatewayDeadline                = &Key{"gateway", "deadline", TypeDuration, "60s", "100ms", "24h", "Time a request may take when its caller states none.", ForGateway}
	GatewayMaxDeadline             = &Key{"gateway", "max_deadline", TypeDuration, "12h", "1s", "24h", "Longest time a caller may state.", ForGateway}
	GatewayConnectTimeout          = &Key{"gateway", "connect_timeout", TypeDuration, "500ms", "10ms", "10s", "Longest wait for a connection to an endpoint.", ForGateway}
	GatewayFirstTokenTimeout       = &Key{"gateway", "first_token_timeout", TypeDuration, "10s", "100ms", "1h", "Longest wait for the first byte of an answer.", ForGateway}
	GatewayReusedFirstTokenTimeout = &Key{"gateway", "reused_first_token_timeout", TypeDuration, "2s", "50ms", "1h", "The same on a connection that was used before; then the request is sent again on a new one.", ForGateway}
	GatewayNextTokenTimeout        = &Key{"gateway", "next_token_timeout", TypeDuration, "3s", "50ms", "1m", "Longest silence within a stream.", ForGateway}
	GatewayDrain                   = &Key{"gateway", "drain", TypeDuration, "10m", "1s", "24h", "Longest time a shutdown waits for requests in progress.", ForGateway}
	GatewayPolicy                  = &Key{"gateway", "policy", TypeText, "cost", "", "", "Routing policy: cost, least-in-flight, two-choices, round-robin, random, prefix-hash.", ForGateway}
	GatewayAdmission               = &Key{"gateway", "admission", TypeBool, "true", "", "", "Whether a request that would wait longer than its model's target for the first token is refused at once.", ForGateway}
	GatewayAdapterFetches          = &Key{"gateway", "adapter_fetches", TypeInt, "64", "1", "100000", "Adapter fetches that all gateways together may cause at once.", ForGateway}
	GatewayMaxAttempts             = &Key{"gateway", "max_attempts", TypeInt, "4", "1", "16", "Most attempts for one request.", ForGateway}
	GatewayRetryShare              = &Key{"gateway", "retry_share", TypeRatio, "0.1", "0", "1", "Retries allowed as a share of requests.", ForGateway}
	GatewayMaxInFlight             = &Key{"gateway", "max_in_flight", TypeInt, "20000", "1", "1000000", "Most requests in progress in one gateway.", ForGateway}
	GatewayEndpointInFlight        = &Key{"gateway", "endpoint_in_flight", TypeInt, "256", "1", "100000", "Most requests of one gateway in progress on one endpoint.", ForGateway}
	GatewayTLSCert                 = &Key{"gateway", "tls_cert", TypeText, "", "", "", "PEM file with the certificate for callers; empty: plain HTTP.", ForGateway}
	GatewayTLSKey                  = &Key{"gateway", "tls_key", TypeText, "", "", "", "PEM file with the key of tls_cert.", ForGateway}

	ControllerListen         = &Key{"controller", "listen", TypeAddress, "127.0.0.1:7100", "", "", "Control address, for gateways and controllers.", ForController}
	ControllerOperators      = &Key{"controller", "operators", TypeAddress, "127.0.0.1:7200", "", "", "Address for operators.", ForController}
	ControllerPeers          = &Key{"controller", "peers", TypeList, "", "", "", "Control addresses known at the start; others come from the instance list.", ForController}
	ControllerTick           = &Key{"controller", "tick", TypeDuration, "250ms", "10ms", "5s", "Time between two runs of the systems.", ForController}
	ControllerPoll           = &Key{"controller", "poll", TypeDuration, "1s", "50ms", "30s", "Time between two load reports of an endpoint.", ForController}
	ControllerLeaseTTL       = &Key{"controller", "lease_ttl", TypeDuration, "5s", "500ms", "2m", "Time after which a lease that is not renewed lapses.", ForController}
	ControllerLeaseMargin    = &Key{"controller", "lease_margin", TypeDuration, "1s", "50ms", "1m", "Time before its deadline at which a holder stops using its lease.", ForController}
	ControllerLoadRate       = &Key{"controller", "loads_a_second", TypeRatio, "1", "0.01", "1000", "Loads the weight store allows to start each second.", ForController}
	ControllerLoadsAtOnce    = &Key{"controller", "loads_at_once", TypeInt, "8", "1", "10000", "Loads the weight store serves at once at full speed.", ForController}
	ControllerMoveWeight     = &Key{"controller", "move_weight", TypeRatio, "0.2", "0", "100", "Cost of one move in replica-loads of relief; higher means fewer moves.", ForController}
	ControllerReplicas       = &Key{"controller", "replicas", TypeInt, "2", "1", "16", "Replicas that each model keeps where memory is free, in different failure domains.", ForController}
	ControllerWatchers       = &Key{"controller", "watchers", TypeInt, "2", "1", "16", "Controllers of each failure domain that watch the object API.", ForController}
	ControllerClaimRetention = &Key{"controller", "claim_retention", TypeDuration, "6h", "1m", "720h", "Time for which an idempotency key is kept; a dated key older than that is refused.", ForGateway | ForController}
	ControllerClaimCommit    = &Key{"controller", "claim_commit", TypeDuration, "10ms", "0s", "1s", "Longest time a claim waits for others to share its write.", ForController}
	ControllerClaimShards    = &Key{"controller", "claim_shards", TypeInt, "2", "1", "4096", "Shards of idempotency keys; the first controller of the fleet fixes their number.", ForController}

	NodeCallers        = &Key{"node", "callers", TypeAddress, "127.0.0.1:7000", "", "", "Address for callers.", ForNode}
	NodeReadiness      = &Key{"node", "readiness", TypeAddress, "127.0.0.1:7001", "", "", "Address on which the balancer asks whether the instance takes requests.", ForNode}
	NodeInternal       = &Key{"node", "internal", TypeText, "127.0.0.1", "", "", "IP address for the other instances.", ForNode}
	NodeAdvertise      = &Key{"node", "advertise", TypeText, "", "", "", "Address at which the other instances reach this one; empty: internal and the first of internal_ports.", ForNode}
	NodeInternalPorts  = &Key{"node", "internal_ports", TypeList, "7380,7395", "", "", "First and last port for the other instances and for metrics.", ForNode}
	NodeRetryRatio     = &Key{"node", "retry_ratio", TypeRatio, "0.2", "0", "10", "Repeats that all instances together may send, for each request.", ForNode}
	NodeRetryAllowance = &Key{"node", "retry_allowance", TypeRatio, "50", "0", "1000000", "Repeats besides, in each retry_window.", ForNode}
	NodeRetryWindow    = &Key{"node", "retry_window", TypeDuration, "10s", "1s", "10m", "Span over which repeats are counted.", ForNode}
	NodeGrace          = &Key{"node", "grace", TypeDuration, "8s", "1s", "24h", "Time between the signal to stop and the kill.", ForNode}
	NodeLeaseTTL       = &Key{"node", "lease", TypeDuration, "3s", "500ms", "2m", "Time after which the lease for orders lapses.", ForNode}
	NodeLoadWindow     = &Key{"node", "load_window", TypeDuration, "5s", "1s", "10m", "Span over which loads from the weight store are counted.", ForNode}
	NodeFencing        = &Key{"node", "fencing", TypeBool, "true", "", "", "Whether endpoints refuse orders with an old fencing number.", ForNode}

	KeysCert = &Key{"keys", "cert", TypeText, "", "", "", "PEM file with this instance's certificate for control links; empty: plain TCP.", ForGateway | ForController | ForCtl}
	KeysKey  = &Key{"keys", "key", TypeText, "", "", "", "PEM file with the key of cert.", ForGateway | ForController | ForCtl}
	KeysCA   = &Key{"keys", "ca", TypeText, "", "", "", "PEM file with the authority that signs control and operator certificates.", ForGateway | ForController | ForCtl}

	CtlControllers = &Key{"ctl", "controllers", TypeList, "127.0.0.1:7200", "", "", "Operator addresses of controllers, tried in turn.", ForCtl}
	CtlTimeout     = &Key{"ctl", "timeout", TypeDuration, "10s", "100ms", "10m", "Longest wait for a controller.", ForCtl}

	StandinListen         = &Key{"standin", "listen", TypeAddress, "127.0.0.1:7400", "", "", "Address the stand-in serves on.", ForStandin}
	StandinMemory         = &Key{"standin", "memory", TypeBytes, "80GiB", "1MiB", "1048576GiB", "Accelerator memory of the endpoint.", ForStandin}
	StandinRole           = &Key{"standin", "role", TypeText, "", "", "", "Role of the endpoint, as in a note.", ForStandin}
	StandinFencing        = &Key{"standin", "fencing", TypeBool, "true", "", "", "Whether the endpoint refuses old fencing numbers.", ForStandin}
	StandinSlots          = &Key{"standin", "slots", TypeInt, "32", "1", "10000", "Requests the endpoint batches at once.", ForStandin}
	StandinPrefillRate    = &Key{"standin", "prefill_rate", TypeInt, "8000", "1", "100000000", "Prompt tokens processed a second.", ForStandin}
	StandinStep           = &Key{"standin", "step", TypeDuration, "20ms", "0s", "10s", "Time of one decoding step with an empty batch.", ForStandin}
	StandinStepPerRequest = &Key{"standin", "step_per_request", TypeDuration, "500us", "0s", "1s", "Time each request in the batch adds to a decoding step.", ForStandin}
	StandinInstances      = &Key{"standin", "instances", TypeList, "", "", "", "Instance list: id|kind|address|control|failure_domain|role|fencing, in one item each.", ForStandin}
	StandinListLag        = &Key{"standin", "list_lag", TypeDuration, "2s", "0s", "10m", "Lag of the instance list.", ForStandin}
	StandinPrefixes       = &Key{"standin", "prefixes", TypeInt, "64", "0", "1000000", "Prompt prefixes that the engine's cache holds.", ForStandin}
	StandinLoadRate       = &Key{"standin", "loads_a_second", TypeRatio, "1", "0.01", "1000", "Loads the weight store starts each second.", ForStandin}
	StandinLoadTime       = &Key{"standin", "load_time", TypeDuration, "300ms", "0s", "10m", "Time of one load at full speed.", ForStandin}
	StandinLoadsAtOnce    = &Key{"standin", "loads_at_once", TypeInt, "8", "1", "10000", "Loads served at once at full speed.", ForStandin}
	StandinRecord         = &Key{"standin", "record", TypeText, "", "", "", "File to which each run is appended before it begins; empty: none.", ForStandin}
	StandinModelMemory    = &Key{"standin", "model_memory", TypeBytes, "14GiB", "1MiB", "1048576GiB", "Memory of a model whose name states none (name-20g states 20 GiB).", ForStandin}
)

// Keys is the table of all keys in the order of the documentation.
var Keys = []*Key{
	InstanceID, InstanceDomain, InstanceRegion, LogLevel,
	PlatformObjects, PlatformInstances, PlatformWeights, PlatformTimeout,
	GatewayListen, GatewayControllers, GatewayMaxBody, GatewayMaxHeader, GatewayMaxAnswer, GatewayDeadline, GatewayMaxDeadline,
	GatewayConnectTimeout, GatewayFirstTokenTimeout, GatewayReusedFirstTokenTimeout, GatewayNextTokenTimeout, GatewayDrain, GatewayPolicy, GatewayAdmission, GatewayAdapterFetches, GatewayMaxAttempts, GatewayRetryShare,
	GatewayMaxInFlight, GatewayEndpointInFlight, GatewayTLSCert, GatewayTLSKey,
	ControllerListen, ControllerOperators, ControllerPeers, ControllerTick, ControllerPoll, ControllerLeaseTTL, ControllerLeaseMargin,
	ControllerLoadRate, ControllerLoadsAtOnce, ControllerMoveWeight, ControllerReplicas, ControllerWatchers, ControllerClaimRetention, ControllerClaimCommit, ControllerClaimShards,
	NodeCallers, NodeReadiness, NodeInternal, NodeAdvertise, NodeInternalPorts, NodeRetryRatio, NodeRetryAllowance, NodeRetryWindow, NodeGrace, NodeLeaseTTL, NodeLoadWindow, NodeFencing,
	KeysCert, KeysKey, KeysCA, CtlControllers, CtlTimeout,
	StandinListen, StandinMemory, StandinRole, StandinFencing, StandinSlots, StandinPrefillRate, StandinStep, StandinStepPerRequest,
	StandinPrefixes, StandinInstances, StandinListLag, StandinLoadRate, StandinLoadTime, StandinLoadsAtOnce, StandinModelMemory, StandinRecord,
}
