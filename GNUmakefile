# The front door: every target is a short command.
GO ?= go
SCENARIO ?= examples/scenarios/ramdin.yaml
BIN := bin

SEEDS ?= 5

.PHONY: all demo test lint spec measure bench fuzz soak fmt clean

all:
	$(GO) build -o $(BIN)/ ./cmd/...

demo:
	$(GO) run ./cmd/yarrowctl demo

test:
	script/test

lint:
	script/lint

spec:
	script/spec

measure:
	$(GO) run ./cmd/yarrowctl measure --file $(SCENARIO)

bench:
	script/bench

fuzz:
	script/fuzz

soak:
	$(GO) build -tags soak -o $(BIN)/ ./cmd/yarrowmast ./test/soak
	$(BIN)/soak --seeds $(SEEDS)

fmt:
	gofmt -w cmd internal pkg platform standin test

clean:
	rm -rf $(BIN)
