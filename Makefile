# make run      the whole path in separate processes, with failures
# make test     all tests that CI runs
# make lint     formatter and linter
# make measure  the measurements of docs/MEASUREMENTS.md
# make prove    the long proofs of docs/PROOFS.md

GO ?= go
SEED ?= 1

.PHONY: build run test lint measure prove generate

build:
	$(GO) build -o bin/ ./cmd/...

test: build
	SISKINKNOT_BIN=$(CURDIR)/bin SISKINKNOT_SEED=$(SEED) $(GO) test ./...

generate:
	protoc --go_out=. --go_opt=module=siskinknot io/peer/peerpb/peer.proto

run: build
	bin/standin demo -bin bin
