package rlbsettings

// Keys by section. Programs pass one of these to a method of Settings to read
// its value.
var (
	InstanceID          = &Key{"instance", "id", TypeText, "", "", "", "Unique name of this instance in the fleet.", ForGateway | ForController | ForStandin | ForNode}
	InstanceDomain      = &Key{"instance", "failure_domain", TypeText, "", "", "", "Failure domain this instance runs in.", ForGateway | ForController | ForStandin | ForNode}
	InstanceRegion      = &Key{"instance", "region", TypeText, "local", "", "", "Region this instance runs in.", ForGateway | ForController | ForNode}
	InstanceMemory      = &Key{"instance", "memory", TypeBytes, "0B", "", "1024GiB", "Memory that the process may use, at least 64MiB; 0B for all of the machine. What clients may make it hold, and when the garbage collector works harder, is derived from it.", ForGateway | ForController | ForNode}
	InstanceDescriptors = &Key{"instance", "descriptors", TypeInt, "0", "", "10000000", "Descriptors that the process may open, 200 of them for files; 0 for the limit of the process. How many connections each of its addresses accepts is derived from it.", ForGateway | ForController | ForNode}
	InstanceHeadLines   = &Key{"instance", "head_lines", TypeInt, "16384", "64", "1000000", "Maximum number of header lines of a request.", ForGateway | ForController | ForNode}
	InstanceWriteStall  = &Key{"instance", "write_stall", TypeDuration, "30s", "100ms", "1h", "Time after which a connection is closed whose client takes none of what is sent to it.", ForGateway | ForController | ForNode}

	LogLevel = &Key{"log", "level", TypeText, "info", "", "", "Minimum level of logged messages: debug, info, warn or error.", ForGateway | ForController | ForStandin | ForNode}

	PlatformObjects   = &Key{"platform", "objects", TypeAddress, "127.0.0.1:7400", "", "", "Address of the platform's object API.", ForController | ForNode}
	PlatformInstances = &Key{"platform", "instances", TypeAddress, "127.0.0.1:7400", "", "", "Address of the platform's instance list.", ForController}
	PlatformWeights   = &Key{"platform", "weights", TypeAddress, "127.0.0.1:7400", "", "", "Address of the weight store.", ForController | ForStandin}
	PlatformTimeout   = &Key{"platform", "timeout", TypeDuration, "2s", "10ms", "1m", "Timeout of a call to the platform.", ForController | ForNode}

	GatewayListen                  = &Key{"gateway", "listen", TypeAddress, "127.0.0.1:7000", "", "", "Address for callers.", ForGateway}
	GatewayControllers             = &Key{"gateway", "controllers", TypeList, "127.0.0.1:7100", "", "", "Control addresses of the controllers, the local one first.", ForGateway}
	GatewayMaxBody                 = &Key{"gateway", "max_body", TypeBytes, "1MiB", "1KiB", "64MiB", "Maximum size of a request body.", ForGateway}
	GatewayMaxHeader               = &Key{"gateway", "max_header", TypeBytes, "32KiB", "4KiB", "1MiB", "Maximum size of a request header.", ForGateway}
	GatewayMaxAnswer               = &Key{"gateway", "max_answer", TypeBytes, "16MiB", "64KiB", "256MiB", "Maximum size of a response that is not streamed.", ForGateway}
	GatewayDeadline                = &Key{"gateway", "deadline", TypeDuration, "60s", "100ms", "24h", "Deadline of a request whose caller sets none.", ForGateway}
	GatewayMaxDeadline             = &Key{"gateway", "max_deadline", TypeDuration, "12h", "1s", "24h", "Maximum deadline that a caller may set.", ForGateway}
	GatewayConnectTimeout          = &Key{"gateway", "connect_timeout", TypeDuration, "500ms", "10ms", "10s", "Timeout for connecting to an endpoint.", ForGateway}
	GatewayFirstTokenTimeout       = &Key{"gateway", "first_token_timeout", TypeDuration, "10s", "100ms", "1h", "Timeout for the first byte of a response.", ForGateway}
	GatewayReusedFirstTokenTimeout = &Key{"gateway", "reused_first_token_timeout", TypeDuration, "2s", "50ms", "1h", "Timeout for the first byte of a response on a reused connection, after which the request is retried on a new connection.", ForGateway}
	GatewayNextTokenTimeout        = &Key{"gateway", "next_token_timeout", TypeDuration, "3s", "50ms", "1m", "Maximum time between two events of a stream.", ForGateway}
	GatewayDrain                   = &Key{"gateway", "drain", TypeDuration, "10m", "1s", "24h", "Maximum time that a shutdown waits for requests in flight.", ForGateway}
	GatewayPolicy                  = &Key{"gateway", "policy", TypeText, "cost", "", "", "Routing policy: cost, least-in-flight, two-choices, round-robin, random, prefix-hash.", ForGateway}
	GatewayAdmission               = &Key{"gateway", "admission", TypeBool, "true", "", "", "Whether a request is refused at once if its expected wait exceeds the first-token target of its model.", ForGateway}
	GatewayAdapterFetches          = &Key{"gateway", "adapter_fetches", TypeInt, "64", "1", "100000", "Maximum number of concurrent adapter fetches caused by all gateways together; each gateway has an equal share, at least one.", ForGateway}
	GatewayMaxAttempts             = &Key{"gateway", "max_attempts", TypeInt, "4", "1", "16", "Maximum number of attempts for a request.", ForGateway}
	GatewayRetryShare              = &Key{"gateway", "retry_share", TypeRatio, "0.1", "0", "1", "Maximum ratio of retries to requests.", ForGateway}
	GatewayMaxInFlight             = &Key{"gateway", "max_in_flight", TypeInt, "20000", "1", "1000000", "Maximum number of requests in flight in one gateway.", ForGateway}
	GatewayEndpointInFlight        = &Key{"gateway", "endpoint_in_flight", TypeInt, "256", "1", "100000", "Maximum number of requests in flight from one gateway to one endpoint.", ForGateway}
	GatewayTLSCert                 = &Key{"gateway", "tls_cert", TypeText, "", "", "", "PEM file with the certificate for callers; empty for plain HTTP.", ForGateway}
	GatewayTLSKey                  = &Key{"gateway", "tls_key", TypeText, "", "", "", "PEM file with the private key of tls_cert.", ForGateway}

	ControllerListen         = &Key{"controller", "listen", TypeAddress, "127.0.0.1:7100", "", "", "Control address for gateways and controllers.", ForController}
	ControllerOperators      = &Key{"controller", "operators", TypeAddress, "127.0.0.1:7200", "", "", "Address for operators.", ForController}
	ControllerPeers          = &Key{"controller", "peers", TypeList, "", "", "", "Control addresses of other controllers, used while no other controller is known from the instance list or a heartbeat.", ForController}
	ControllerTick           = &Key{"controller", "tick", TypeDuration, "250ms", "10ms", "5s", "Interval between two runs of the control loop.", ForController}
	ControllerPoll           = &Key{"controller", "poll", TypeDuration, "1s", "50ms", "30s", "Interval between two polls of the state of an endpoint.", ForController}
	ControllerLeaseTTL       = &Key{"controller", "lease_ttl", TypeDuration, "5s", "500ms", "2m", "Time after which a lease expires unless it is renewed.", ForController}
	ControllerLeaseMargin    = &Key{"controller", "lease_margin", TypeDuration, "1s", "50ms", "1m", "Time before expiry at which the holder stops using its lease.", ForController}
	ControllerLoadRate       = &Key{"controller", "loads_a_second", TypeRatio, "1", "0.01", "1000", "Loads per second that the weight store allows to start.", ForController}
	ControllerLoadsAtOnce    = &Key{"controller", "loads_at_once", TypeInt, "8", "1", "10000", "Concurrent loads that the weight store serves at full speed.", ForController}
	ControllerMoveWeight     = &Key{"controller", "move_weight", TypeRatio, "0.2", "0", "100", "Cost of a move in units of the load of one replica; a higher value means fewer moves.", ForController}
	ControllerReplicas       = &Key{"controller", "replicas", TypeInt, "2", "1", "16", "Replicas kept of each model, in different failure domains, where memory is free.", ForController}
	ControllerWatchers       = &Key{"controller", "watchers", TypeInt, "2", "1", "16", "Number of controllers per failure domain that watch the object API.", ForController}
	ControllerClaimRetention = &Key{"controller", "claim_retention", TypeDuration, "6h", "1m", "720h", "Retention of idempotency keys; a dated key older than that is refused.", ForGateway | ForController}
	ControllerClaimCommit    = &Key{"controller", "claim_commit", TypeDuration, "10ms", "0s", "1s", "Maximum time that a claim waits to be written in a batch with others.", ForController}
	ControllerClaimShards    = &Key{"controller", "claim_shards", TypeInt, "2", "1", "4096", "Number of shards of idempotency keys; the first controller of the fleet fixes it.", ForController}

	NodeCallers        = &Key{"node", "callers", TypeAddress, "127.0.0.1:7000", "", "", "Address for callers.", ForNode}
	NodeReadiness      = &Key{"node", "readiness", TypeAddress, "127.0.0.1:7001", "", "", "Address of the readiness check that the upstream balancer calls.", ForNode}
	NodeInternal       = &Key{"node", "internal", TypeText, "127.0.0.1", "", "", "IP address on which other instances reach this one.", ForNode}
	NodeAdvertise      = &Key{"node", "advertise", TypeText, "", "", "", "Address advertised to other instances; empty for internal with the first port of internal_ports.", ForNode}
	NodeInternalPorts  = &Key{"node", "internal_ports", TypeList, "7380,7395", "", "", "First and last port for other instances and for metrics.", ForNode}
	NodeRetryRatio     = &Key{"node", "retry_ratio", TypeRatio, "0.2", "0", "10", "Retries per request that all instances together may send.", ForNode}
	NodeRetryAllowance = &Key{"node", "retry_allowance", TypeRatio, "50", "0", "1000000", "Retries allowed per retry_window in addition to retry_ratio.", ForNode}
	NodeRetryWindow    = &Key{"node", "retry_window", TypeDuration, "10s", "1s", "10m", "Time window over which retries are counted.", ForNode}
	NodeGrace          = &Key{"node", "grace", TypeDuration, "8s", "1s", "24h", "Time between the termination signal and the forced kill.", ForNode}
	NodeDrain          = &Key{"node", "drain", TypeDuration, "2s", "0s", "10m", "Time within which all instances stop using an endpoint after the object API has stored that it leaves; 0s: the default.", ForNode}
	NodeLeaseTTL       = &Key{"node", "lease", TypeDuration, "3s", "500ms", "2m", "Time after which the lease for sending orders expires unless it is renewed.", ForNode}
	NodeLoadWindow     = &Key{"node", "load_window", TypeDuration, "5s", "1s", "10m", "Time window over which loads from the weight store are counted.", ForNode}
	NodeReportInterval = &Key{"node", "report_interval", TypeDuration, "1200ms", "10ms", "10m", "Interval at which endpoints write their entries; the platform removes an entry after three without.", ForNode}
	NodeFencing        = &Key{"node", "fencing", TypeBool, "true", "", "", "Whether endpoints refuse orders with an outdated fencing number.", ForNode}
	NodeSpillover      = &Key{"node", "spillover", TypeBool, "false", "", "", "Whether requests are sent to other failure domains by the waits there; otherwise each of them has a fixed cost.", ForNode}
	NodeSpilloverGain  = &Key{"node", "spillover_gain", TypeDuration, "10ms", "0s", "1m", "Time by which the expected wait in another failure domain must be shorter before requests are sent there, beside the delay of the link.", ForNode}
	NodeSpilloverRate  = &Key{"node", "spillover_rate", TypeBytes, "0B", "0B", "1024GiB", "Bytes a second between this failure domain and another one at which only those requests are sent there that find no endpoint here; 0B for no limit.", ForNode}

	KeysCert = &Key{"keys", "cert", TypeText, "", "", "", "PEM file with the certificate of this instance for control links; empty for plain TCP.", ForGateway | ForController | ForCtl}
	KeysKey  = &Key{"keys", "key", TypeText, "", "", "", "PEM file with the private key of cert.", ForGateway | ForController | ForCtl}
	KeysCA   = &Key{"keys", "ca", TypeText, "", "", "", "PEM file with the CA that signs the certificates of instances and operators.", ForGateway | ForController | ForCtl}

	CtlControllers = &Key{"ctl", "controllers", TypeList, "127.0.0.1:7200", "", "", "Operator addresses of controllers, tried in order.", ForCtl}
	CtlTimeout     = &Key{"ctl", "timeout", TypeDuration, "10s", "100ms", "10m", "Timeout of a call to a controller.", ForCtl}

	StandinListen         = &Key{"standin", "listen", TypeAddress, "127.0.0.1:7400", "", "", "Address on which the stand-in serves.", ForStandin}
	StandinMemory         = &Key{"standin", "memory", TypeBytes, "80GiB", "1MiB", "1048576GiB", "Accelerator memory of the endpoint.", ForStandin}
	StandinRole           = &Key{"standin", "role", TypeText, "", "", "", "Role of the endpoint, as in a note.", ForStandin}
	StandinFencing        = &Key{"standin", "fencing", TypeBool, "true", "", "", "Whether the endpoint refuses orders with an outdated fencing number.", ForStandin}
	StandinSlots          = &Key{"standin", "slots", TypeInt, "32", "1", "10000", "Maximum number of requests in a batch of the endpoint.", ForStandin}
	StandinPrefillRate    = &Key{"standin", "prefill_rate", TypeInt, "8000", "1", "100000000", "Prompt tokens processed per second.", ForStandin}
	StandinStep           = &Key{"standin", "step", TypeDuration, "20ms", "0s", "10s", "Duration of a decoding step with an empty batch.", ForStandin}
	StandinStepPerRequest = &Key{"standin", "step_per_request", TypeDuration, "500us", "0s", "1s", "Time that each request in the batch adds to a decoding step.", ForStandin}
	StandinInstances      = &Key{"standin", "instances", TypeList, "", "", "", "Instance list; each item is id|type|address|control|failure_domain|role|fencing.", ForStandin}
	StandinListLag        = &Key{"standin", "list_lag", TypeDuration, "2s", "0s", "10m", "Delay with which the instance list shows changes.", ForStandin}
	StandinPrefixes       = &Key{"standin", "prefixes", TypeInt, "64", "0", "1000000", "Number of prompt prefixes that the prefix cache of the engine holds.", ForStandin}
	StandinLoadRate       = &Key{"standin", "loads_a_second", TypeRatio, "1", "0.01", "1000", "Loads per second that the weight store starts.", ForStandin}
	StandinLoadTime       = &Key{"standin", "load_time", TypeDuration, "300ms", "0s", "10m", "Duration of a load at full speed.", ForStandin}
	StandinLoadsAtOnce    = &Key{"standin", "loads_at_once", TypeInt, "8", "1", "10000", "Concurrent loads served at full speed.", ForStandin}
	StandinRecord         = &Key{"standin", "record", TypeText, "", "", "", "File to which each run of a request is appended before it begins; empty for none.", ForStandin}
	StandinModelMemory    = &Key{"standin", "model_memory", TypeBytes, "14GiB", "1MiB", "1048576GiB", "Memory of a model whose name does not specify it (name-20g means 20 GiB).", ForStandin}
)

// Keys lists all keys in the order of the documentation page.
var Keys = []*Key{
	InstanceID, InstanceDomain, InstanceRegion, InstanceMemory, InstanceDescriptors, InstanceHeadLines, InstanceWriteStall, LogLevel,
	PlatformObjects, PlatformInstances, PlatformWeights, PlatformTimeout,
	GatewayListen, GatewayControllers, GatewayMaxBody, GatewayMaxHeader, GatewayMaxAnswer, GatewayDeadline, GatewayMaxDeadline,
	GatewayConnectTimeout, GatewayFirstTokenTimeout, GatewayReusedFirstTokenTimeout, GatewayNextTokenTimeout, GatewayDrain, GatewayPolicy, GatewayAdmission, GatewayAdapterFetches, GatewayMaxAttempts, GatewayRetryShare,
	GatewayMaxInFlight, GatewayEndpointInFlight, GatewayTLSCert, GatewayTLSKey,
	ControllerListen, ControllerOperators, ControllerPeers, ControllerTick, ControllerPoll, ControllerLeaseTTL, ControllerLeaseMargin,
	ControllerLoadRate, ControllerLoadsAtOnce, ControllerMoveWeight, ControllerReplicas, ControllerWatchers, ControllerClaimRetention, ControllerClaimCommit, ControllerClaimShards,
	NodeCallers, NodeReadiness, NodeInternal, NodeAdvertise, NodeInternalPorts, NodeRetryRatio, NodeRetryAllowance, NodeRetryWindow, NodeGrace, NodeDrain, NodeLeaseTTL, NodeLoadWindow, NodeReportInterval, NodeFencing, NodeSpillover, NodeSpilloverGain, NodeSpilloverRate,
	KeysCert, KeysKey, KeysCA, CtlControllers, CtlTimeout,
	StandinListen, StandinMemory, StandinRole, StandinFencing, StandinSlots, StandinPrefillRate, StandinStep, StandinStepPerRequest,
	StandinPrefixes, StandinInstances, StandinListLag, StandinLoadRate, StandinLoadTime, StandinLoadsAtOnce, StandinModelMemory, StandinRecord,
}
