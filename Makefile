# make run      the whole path in separate processes, with failures
# make test     all tests that CI runs
# make lint     formatter and linter
# make measure  the measurements of docs/MEASUREMENTS.md
# make plots    the plots of docs/MEASUREMENTS.md
# make prove    the long proofs of docs/PROOFS.md
# make seeds    the seeds at which the model notices that a lease rule is off

GO ?= go
SEED ?= 1
# Fleets of processes that run at a time.
PARALLEL ?= 2
# Tests listed in KNOWN-RED.txt are passed over.
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

# plots draws the plots of the docs from docs/measure.json.
plots: build
	bin/standin plot -json docs/measure.json -dir docs

measure: build
	mkdir -p out
	bin/standin measure -bin bin -json out/measure.json
	$(GO) test -run '^$$' -bench . -benchmem ./core/...
