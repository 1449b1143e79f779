# Commands for development.

GO ?= go
LINT = $(GO) tool -modfile=tools/go.mod golangci-lint

.PHONY: build test race lint format demo load bench fuzz check

build:
	$(GO) build -o damaskcrank .

test:
	$(GO) test ./...

race:
	$(GO) test -race ./...

lint:
	$(LINT) run ./...

format:
	$(LINT) fmt ./...

demo:
	$(GO) run . demo

load:
	$(GO) run . load

bench:
	$(GO) run . bench

fuzz:
	$(GO) test -run=NONE -fuzz=FuzzDecodeFrame -fuzztime=30s ./internal/peer/links
	$(GO) test -run=NONE -fuzz=FuzzHeads -fuzztime=30s ./internal/base/intake

check:
	.ci/run
