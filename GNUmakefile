# Targets for developers, operators and CI.
GO ?= go
DEPLOYMENT ?= buscodigo
FLEET_SIZES ?= 75,150,300,600
STATICCHECK := bin/staticcheck

.PHONY: all build run test format lint unit prove measure slopes plots clean

all: build

build:
	@mkdir -p bin
	@$(GO) build -o bin/ ./cmd/...

run: build
	@exec scripts/run.sh $(DEPLOYMENT)

# Runs what CI runs: format check, linters, then all tests with the race detector.
test: format lint unit

format:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go')); \
	  [ -z "$$unformatted" ] || { echo "not formatted, run gofmt -w:" $$unformatted; exit 1; }

$(STATICCHECK): tools/go.mod
	@mkdir -p bin
	@cd tools && $(GO) build -o ../$(STATICCHECK) honnef.co/go/tools/cmd/staticcheck

lint: $(STATICCHECK)
	@$(GO) vet ./...
	@$(STATICCHECK) ./...

unit:
	@scripts/test.sh

# Checks the models of the core protocol to their full depth, replays the recorded
# traces and injects failures into real processes. Prints a line per guarantee.
prove: build
	@bin/dillsaddle-lab prove

# Runs the experiments behind the design decisions, in virtual time.
measure: build
	@bin/dillsaddle-lab measure

# Extrapolates the cost of each part to the fleet size in docs/CAPACITY.md.
slopes: build
	@bin/dillsaddle-lab slopes
	@$(GO) test ./fleet -run TestCostOfABoxDoesNotGrowWithTheFleet -count=1 -v -timeout 20m -args -sizes $(FLEET_SIZES)

plots: build
	@bin/dillsaddle-lab plots

clean:
	rm -rf bin run
