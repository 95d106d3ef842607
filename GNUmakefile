# The targets that a newcomer, an operator and CI use.
GO ?= go
DEPLOYMENT ?= buscodigo
PROGRAMS := dillsaddle dillsaddle-entry dillsaddle-scheduler dillsaddle-watch dillsaddle-standin

.PHONY: all build run test clean

all: build

build:
	@mkdir -p bin
	@$(GO) build -o bin/ ./cmd/...

run: build
	@exec scripts/run.sh $(DEPLOYMENT)

clean:
	rm -rf bin run
