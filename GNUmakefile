# The front door: every target is a short command.
GO ?= go
SCENARIO ?= examples/scenarios/ramdin.yaml
BIN := bin

SEEDS ?= 5
# The size of the emulated fleet: 60, 150, 300, 585 or 1170.
ROUTERS ?= 150

.PHONY: all demo test lint spec measure bench bench-fleet fuzz soak fmt clean

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

bench-fleet:
	$(GO) test ./internal/dispatch -run '^$$' -bench EmulatedFleet/$(ROUTERS)$$ -benchtime 1x

fuzz:
	script/fuzz

soak:
	$(GO) build -tags soak -o $(BIN)/ ./cmd/yarrowmast ./test/soak
	$(BIN)/soak --seeds $(SEEDS)

fmt:
	gofmt -w cmd internal pkg platform standin test

clean:
	rm -rf $(BIN)
