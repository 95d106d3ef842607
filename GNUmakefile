# The targets that a newcomer, an operator and CI use.
GO ?= go
DEPLOYMENT ?= buscodigo
STATICCHECK := bin/staticcheck

.PHONY: all build run test format lint unit prove measure slopes plots clean

all: build

build:
	@mkdir -p bin
	@$(GO) build -o bin/ ./cmd/...

run: build
	@exec scripts/run.sh $(DEPLOYMENT)

# What CI runs: formatter, linters, then every test with the race detector.
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

# Explores the core protocol to its deep bounds, replays the recorded traces and
# brings about failures on real processes; prints a line for each promise.
prove: build
	@bin/dillsaddle-lab prove

# The decision tables, in virtual time.
measure: build
	@bin/dillsaddle-lab measure

# What each part costs, worked out for the size of docs/CAPACITY.md.
slopes: build
	@bin/dillsaddle-lab slopes

plots: build
	@bin/dillsaddle-lab plots

clean:
	rm -rf bin run
