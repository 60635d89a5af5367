GOLANGCI_LINT_VERSION := v2.15.0
PROTOC_GEN_GO_VERSION := v1.36.12
GOBIN := $(shell go env GOPATH)/bin
# One pattern of go test for each known red test or subtest.
KNOWN_RED := $(shell sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | sed 's,/,$$/^,g; s/.*/^&$$/' | paste -sd'|' -)
SKIP := $(if $(KNOWN_RED),-skip '$(KNOWN_RED)')
TEST_FLAGS ?=
# Tests of one package that run side by side. Those of systemtest mostly wait.
PARALLEL ?= 4
SEEDS ?= 20
# The tests with random faults are those that call eachSeed or eachPhase.
SEEDED_TESTS ?= $(shell awk '/^func Test/ {f = $$2; sub(/[^A-Za-z0-9_].*/, "", f)} /^\teach(Seed|Phase).t, / {print f}' systemtest/*_test.go | paste -sd'|')

export CGO_ENABLED := 1

.PHONY: build test lint format generate demo measure bench soak fuzz clean tools

build:
	go build -o bin/nutmegnotch .
	go build -o bin/nutmegnotch-emulator ./cmd/nutmegnotch-emulator

test: build
	@if [ -n '$(KNOWN_RED)' ]; then echo "known red, not run:"; cat KNOWN-RED.txt; fi
	go test -race -timeout 45m -parallel $(PARALLEL) $(SKIP) $(TEST_FLAGS) ./...

demo: build
	demo/run.sh

soak:
	go test -count=1 -timeout 0 -parallel 4 -v -run '^($(SEEDED_TESTS))$$' ./systemtest -args -seeds $(SEEDS)

# The tables of docs/measurements.md and of the rebalance policy in
# docs/measurements-groups.md, in about 5 minutes.
measure: build
	bin/nutmegnotch-emulator experiment all
	go test -tags measure ./entry -run TestMeasureSlowReaders -v

# The slopes of docs/CAPACITY.md, in about 7 minutes.
bench:
	go test -run XXX -bench . -benchtime 0.3s ./core/retry ./core/config ./core/claim ./core/rendezvous ./core/admission ./io/configlog ./io/claimlog
	go test -run XXX -bench 'Memory|Choose|Subset' -benchtime 0.3s ./core/share ./core/routing
	go test -run XXX -bench 'Offer|PeerLoad' -benchtime 0.3s ./core/dispatch
	go test -tags measure ./systemtest -run TestMeasure -v -timeout 20m

# Fuzzes what comes from peers, from the log and from settings files.
FUZZ_TIME ?= 30s
fuzz:
	go test ./options -run XXX -fuzz 'FuzzParse$$' -fuzztime $(FUZZ_TIME)
	go test ./options -run XXX -fuzz FuzzParseNode -fuzztime $(FUZZ_TIME)
	go test ./core/config -run XXX -fuzz FuzzApply -fuzztime $(FUZZ_TIME)
	go test ./core/config -run XXX -fuzz FuzzDecodeState -fuzztime $(FUZZ_TIME)
	go test ./core/claim -run XXX -fuzz FuzzRecord -fuzztime $(FUZZ_TIME)
	go test ./io/peer -run XXX -fuzz FuzzReceive -fuzztime $(FUZZ_TIME)
	go test ./io/backend -run XXX -fuzz FuzzReply -fuzztime $(FUZZ_TIME)
	go test ./core/eventstream -run XXX -fuzz FuzzEventEnd -fuzztime $(FUZZ_TIME)
	go test ./core/expertmap -run XXX -fuzz FuzzDecodeLayout -fuzztime $(FUZZ_TIME)
	go test ./gateway -run XXX -fuzz FuzzControl -fuzztime $(FUZZ_TIME)
	go test ./rankagent -run XXX -fuzz FuzzControl -fuzztime $(FUZZ_TIME)

lint:
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); echo "run gofmt"; exit 1; }
	go vet ./...
	go vet -tags measure ./entry ./systemtest
	$(GOBIN)/golangci-lint run ./...

format:
	$(GOBIN)/golangci-lint fmt ./...

generate:
	PATH="$(GOBIN):$$PATH" protoc --go_out=. --go_opt=module=nutmegnotch io/peer/peerpb/peer.proto

tools:
	@test -x $(GOBIN)/golangci-lint || go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)
	@test -x $(GOBIN)/protoc-gen-go || go install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)

clean:
	rm -rf bin
