MODULES := lib platform rlb-controller rlb-gateway rlb-load rlb-node rlb-standin rlbctl
PROGRAMS := rlb-controller rlb-gateway rlb-load rlb-node rlb-standin rlbctl
PACKAGES := $(addsuffix /...,$(addprefix ./,$(MODULES)))
LINTER := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0

.PHONY: build test race lint hostile trial trial-platform capacity faults cost replace outage bench moves soak soak-fresh fuzz cross

build:
	@mkdir -p bin
	@for p in $(PROGRAMS); do go build -o bin/$$p ./$$p || exit 1; done

race:
	go test -race $(PACKAGES)

test:
	go test $(PACKAGES)

# Native fuzz tests of the decoders at the process boundary. They end after a number of inputs:
# an end by time can fail with that time's own error on a busy machine.
FUZZTIME ?= 200000x
FUZZED := lib/pkg/rlbjson:FuzzSplit lib/pkg/rlbintake:FuzzHead lib/pkg/rlbmsgpack:FuzzUnmarshal lib/pkg/rlborigin:FuzzMerge platform:FuzzDecodePage platform:FuzzDecodeEndpoint platform:FuzzDecodeConfig rlb-node/pkg/rlbpeer:FuzzPacket rlb-node/pkg/rlbpeer:FuzzQuery

fuzz:
	@for f in $(FUZZED); do go test ./$${f%%:*} -run '^$$' -fuzz "^$${f##*:}$$" -fuzztime $(FUZZTIME) || exit 1; done

# Crowds of clients that keep no limit, against the processes themselves: one test at a time.
hostile:
	go vet -tags hostile ./rlb-load/pkg/rlbhostile
	go test -tags hostile -p 1 -count=1 -timeout 30m ./rlb-load/pkg/rlbhostile

# Builds and vets for both processors that the product runs on. The other one than this
# machine's is built without C, as there may be no C compiler for it.
cross:
	@for arch in amd64 arm64; do echo "$$arch" && GOARCH=$$arch CGO_ENABLED=0 go build -o /dev/null $(PACKAGES) && GOARCH=$$arch CGO_ENABLED=0 go vet $(PACKAGES) || exit 1; done

lint:
	@test -z "$$(gofmt -l $(MODULES))" || { gofmt -l $(MODULES); exit 1; }
	go vet $(PACKAGES)
	@command -v $$(go env GOPATH)/bin/golangci-lint >/dev/null || go install $(LINTER)
	$$(go env GOPATH)/bin/golangci-lint run $(PACKAGES)

trial: build
	scripts/trial.sh

trial-platform: build
	scripts/trial_platform.sh

capacity: build
	scripts/capacity.sh docs/capacity.jsonl "3 30 1 3" "6 60 1 3" "12 120 1 3" "24 240 1 3" "6 240 1 3" "12 400 1 3" "3 30 4 3" "3 30 8 3" "4 100 4 3" "33 550 1 3" "18 300 1 3" "3 30 6 3"
	bin/rlb-load capacity page docs/capacity.jsonl

faults: build
	scripts/faults.sh

cost: build
	TRIAL_PORT=16000 TRIAL_DIR=.trial/cost TRIAL_NOTE=examples/faults.yaml TRIAL_MODEL=draft-8g TRIAL_STEP=0s TRIAL_STEP_SLOT=0s TRIAL_PREFILL=100000000 TRIAL_LOADS=20 TRIAL_THEN=scripts/cost_run.sh scripts/trial.sh

replace: build
	TRIAL_PORT=14000 TRIAL_DIR=.trial/replace TRIAL_NOTE=examples/faults.yaml TRIAL_MODEL=draft-8g TRIAL_STEP=10ms TRIAL_LOADS=20 TRIAL_THEN=scripts/replace_run.sh scripts/trial.sh

outage: build
	TRIAL_PORT=13000 TRIAL_DIR=.trial/outage TRIAL_NOTE=examples/faults.yaml TRIAL_MODEL=draft-8g TRIAL_LOADS=4 TRIAL_THEN=scripts/outage_run.sh scripts/trial.sh

soak: build
	bin/rlb-load soak --seeds $(or $(SEEDS),1)

soak-fresh: build
	bin/rlb-load soak --fresh $(or $(FRESH),3)

bench: build
	scripts/bench.sh

moves: build
	scripts/moves.sh
