.PHONY: build check test overload fuzz demo up fmt prove measure bench soak
export CGO_ENABLED = 1

build:
	mkdir -p bin
	go build -o bin/ ./cmd/... ./platform/cmd/...

fmt:
	go tool gofumpt -w $$(git ls-files -co --exclude-standard '*.go')

check: build
	@out=$$(go tool gofumpt -l $$(git ls-files -co --exclude-standard '*.go')); if [ -n "$$out" ]; then echo "gofumpt: $$out"; exit 1; fi
	go vet ./...
	go vet -tags prove ./prove
	go vet -tags overload $(OVERLOAD_PACKAGES)
	go tool staticcheck ./...
	go tool staticcheck -tags overload $(OVERLOAD_PACKAGES)
	$(MAKE) test
	$(MAKE) overload
	$(MAKE) fuzz

# Tests listed in KNOWN-RED.txt are named in KNOWN_RED, separated by "|", and left out.
KNOWN_RED ?=
test:
	go test -race $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') ./...

# Crowds of clients that exceed limits, against real processes; one test at a time.
OVERLOAD_PACKAGES = ./platform/cmd/teaselpaddle-region ./cmd/teaselpaddled
overload: build
	go test -count=1 -p 1 -tags overload -run '^TestOverload' -timeout 20m $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') $(OVERLOAD_PACKAGES)

# Runs each fuzz target for FUZZTIME, a number of inputs ("300x") or a duration ("10m").
FUZZTIME ?= 300x
fuzz:
	@grep -rl --include='*_test.go' '^func Fuzz' . | xargs -n1 dirname | sort -u | while read -r dir; do \
		for target in $$(grep -ho '^func Fuzz[A-Za-z]*' $$dir/*_test.go | cut -d' ' -f2); do \
			go test -run '^$$' -fuzz "^$$target\$$" -fuzztime $(FUZZTIME) $$dir || exit 1; \
		done; \
	done

demo: build
	scripts/demo.sh

# Starts the demo's deployment and keeps it running until it is interrupted.
up: build
	UP=1 scripts/demo.sh

# Failure proofs with real processes: make prove NAME=<part of a name> SEED=<n>.
SEED ?= 1
prove: build
	go test -tags prove -c -o bin/prove.test ./prove
	cd prove && ../bin/prove.test -test.run TestProve -test.timeout 40m -proof '$(NAME)' -seed '$(SEED)'

# Soak test of the region's programs under injected faults:
# make soak SEEDS=1-50 INSTALLATION=few-large SCENARIO=planned.
SEEDS ?= 1-50
INSTALLATION ?= standard
SCENARIO ?= mixed
soak: build
	go test ./platform/soak -run TestSoak -v -timeout 60m -seeds '$(SEEDS)' -installation '$(INSTALLATION)' -scenario '$(SCENARIO)'

# Scheduler benchmarks; prints lines "BENCH <name> <value> <unit> naive <value>".
bench:
	go run ./internal/replay/bench

# Measurements of nine real daemons: CPU time, memory, traffic and latencies.
measure: build
	go test -tags prove -c -o bin/prove.test ./prove
	cd prove && ../bin/prove.test -test.run TestMeasure -test.timeout 10m
