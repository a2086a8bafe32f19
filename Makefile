# make build    build all programs into bin/
# make run      run the demonstrations of a fleet in separate processes, with faults
# make test     run all tests that CI runs
# make lint     check with the formatter and the linter
# make measure  run the measurements of docs/MEASUREMENTS.md
# make plots    draw the plots of docs/MEASUREMENTS.md
# make prove    run the long tests of docs/PROOFS.md
# make seeds    find the seeds at which the model detects that a lease rule is off
# make generate generate the Go code of the protocol between daemons

GO ?= go
SEED ?= 1
# Limit on the fleets of processes that run at the same time.
PARALLEL ?= 2
# Tests listed in KNOWN-RED.txt are skipped.
KNOWN_RED := $(shell sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd '|')
SKIP := $(if $(KNOWN_RED),-skip '$(KNOWN_RED)')
ENV := SISKINKNOT_BIN=$(CURDIR)/bin SISKINKNOT_SEED=$(SEED)

.PHONY: build run test lint measure plots prove seeds generate

build:
	$(GO) build -o bin/ ./cmd/...

run: build
	bin/standin demo -bin bin
	bin/standin demo -mesh -bin bin

test: build
	$(GO) vet ./...
	$(ENV) $(GO) test -count=1 -timeout 10m -parallel $(PARALLEL) $(SKIP) ./...

lint:
	@out=$$(gofumpt -l $$(git ls-files '*.go' | grep -v '\.pb\.go$$')); \
	  if [ -n "$$out" ]; then echo "gofumpt would change: $$out"; exit 1; fi
	golangci-lint run

prove: build
	SISKINKNOT_MODEL_SEEDS=20000 SISKINKNOT_SEED=$(SEED) $(GO) test -count=1 -timeout 30m -v -run 'TestSeeds|TestEachRule' ./core/lease
	$(ENV) SISKINKNOT_LONG=5 $(GO) test -count=1 -timeout 60m -parallel $(PARALLEL) -v ./test/integration

seeds:
	SISKINKNOT_MODEL_SEARCH=30000 $(GO) test -count=1 -timeout 30m -v -run TestEachRule ./core/lease

generate:
	protoc --go_out=. --go_opt=module=siskinknot io/peer/peerpb/peer.proto

# Draws the plots in docs from the measurements in docs/measure.json.
plots: build
	bin/standin plot -json docs/measure.json -dir docs

measure: build
	mkdir -p out
	bin/standin measure -bin bin -json out/measure.json
	$(GO) test -run '^$$' -bench . -benchmem ./core/...
