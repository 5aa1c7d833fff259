# Development commands of gentianswitch. `make test` and `make demo` need only Go.
DEPLOYMENT ?= sierra
LINT := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0

# Tests that KNOWN-RED.txt lists are skipped: lines `go: NAME` name a Go test, lines `spec: TEXT` a Ginkgo spec.
KNOWN_GO := $(shell sed -n 's/^go: //p' KNOWN-RED.txt 2>/dev/null | paste -sd'|')
KNOWN_SPECS := $(shell sed -n 's/^spec: //p' KNOWN-RED.txt 2>/dev/null | tr ' ' '.' | paste -sd'|')
SKIP_GO := $(if $(KNOWN_GO),-skip '^($(KNOWN_GO))$$')
SKIP_SPECS := $(if $(KNOWN_SPECS),--ginkgo.skip='$(KNOWN_SPECS)')

# Time for each fuzz target.
FUZZTIME ?= 20s
FUZZ_TARGETS := internal/connid:FuzzDecode internal/packet:FuzzParse internal/envelope:FuzzOpen internal/keys:FuzzParse \
  internal/frame:FuzzRead internal/tables:FuzzParse internal/revision:FuzzDecodeHead internal/revision:FuzzApply \
  internal/opaque/hop:FuzzDecode internal/opaque/hop:FuzzDecodeGroupStatus internal/opaque/handover:FuzzUnpack \
  internal/opaque/registry:FuzzDecode internal/opaque/record:FuzzDecode \
  platform:FuzzDecodePacket platform:FuzzDecodeConfiguration platform:FuzzHeartbeat

# Benchmarks, their output and its JSON.
BENCHTIME ?= 200ms
BENCH ?= .
BENCH_DIR := bin/bench
BENCH_PACKAGES := ./internal/route ./internal/balancer ./internal/revision ./internal/frame ./internal/control ./internal/member

.PHONY: build test race lint format docs fuzz bench experiment soak

# Seeds of `make soak`, the time for which faults are injected with each seed, and further flags, such as -soak-targets 60.
SOAK_SEEDS ?= $(shell shuf -i 1000-999999999 -n 10)
SOAK_TIME ?= 20s
SOAK_FLAGS ?=
SOAK_DIR := bin/soak

build:
	go build -o bin/ ./cmd/...

# Runs one deployment through restarts, drains, a change and a failure, and reports what callers saw.
demo: build
	bin/gentian-demo --deployment $(DEPLOYMENT) $(DEMO_FLAGS)

test:
	go test -count=1 $(SKIP_GO) $$(go list ./... | grep -v /integration)
	go test -count=1 -timeout 20m $(SKIP_GO) ./integration --ginkgo.seed=1 $(SKIP_SPECS)

# Runs the tests of the packages with concurrent duties under the race detector, which makes the histories ten times as slow.
race:
	go test -race -count=1 -timeout 20m $(SKIP_GO) ./internal/... ./platform/...

lint:
	go vet ./...
	$(LINT) run ./...

# Prints all figures, including ratios to baselines of the same run, and writes them to bin/bench.
bench: bench-code experiment

# Measures the service that callers get from the real programs, under the production policy and the baseline.
experiment: build
	@mkdir -p $(BENCH_DIR)
	bin/gentian-experiment --deployment $(DEPLOYMENT) --report $(BENCH_DIR)/experiment-$(DEPLOYMENT).json --plots $(BENCH_DIR) $(EXPERIMENT_FLAGS)

bench-code:
	@mkdir -p $(BENCH_DIR)
	go test -p 1 -run '^$$' -bench '$(BENCH)' -benchmem -benchtime $(BENCHTIME) -timeout 20m $(BENCH_PACKAGES) > $(BENCH_DIR)/bench.txt; \
	  status=$$?; cat $(BENCH_DIR)/bench.txt; go tool test2json < $(BENCH_DIR)/bench.txt > $(BENCH_DIR)/bench.json; exit $$status

# Fuzzes each decoder for FUZZTIME, one after the other.
fuzz:
	@for target in $(FUZZ_TARGETS); do \
	  go test ./$${target%%:*} -run '^$$' -fuzz "^$${target##*:}\$$" -fuzztime $(FUZZTIME) -parallel 2 || exit 1; \
	done

# Runs real programs under random faults, seed by seed. The seeds that fail are printed, and their output and logs are kept.
soak:
	@mkdir -p $(SOAK_DIR)
	go test -c -o $(SOAK_DIR)/soak.test ./integration
	@failed=; for seed in $(SOAK_SEEDS); do \
	  echo "seed $$seed"; \
	  if (cd integration && ../$(SOAK_DIR)/soak.test -test.timeout 15m -soak-seed $$seed -soak-time $(SOAK_TIME) $(SOAK_FLAGS) \
	    -opaque-logs $(CURDIR)/$(SOAK_DIR)/$$seed --ginkgo.v --ginkgo.focus 'A soak') > $(SOAK_DIR)/$$seed.txt 2>&1; \
	  then grep -h 'requests answered' $(SOAK_DIR)/$$seed.txt; rm -rf $(SOAK_DIR)/$$seed; \
	  else failed="$$failed $$seed"; grep -hA20 'FAILED' $(SOAK_DIR)/$$seed.txt | head -40; fi; \
	done; if [ -n "$$failed" ]; then echo "failed:$$failed"; exit 1; fi

format:
	gofmt -w cmd internal integration platform

docs:
	go test ./internal/events -run TestEventsPageIsCurrent -update-events
	go test ./internal/metrics -run TestMetricsPageIsCurrent -update-metrics
