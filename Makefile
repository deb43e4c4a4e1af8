# The daily verbs. Every target that needs packages sets up its own environment.
VENV ?= .venv
PYTHON ?= python3.11
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
export PYTHONPATH := $(CURDIR):$(CURDIR)/platform

.PHONY: help setup demo soak bench bench-quick slopes count experiment platform-soak test lint format types check fuzz kills

help: ## List the targets
	@grep -E '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*## /\t/' | expand -t 16

$(STAMP): requirements.lock
	@test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	@touch $@

setup: $(STAMP) ## Make the virtual environment from requirements.lock

test: setup ## Run the tests (fixed seeds, virtual time)
	$(BIN)/python -m pytest -n 6 -m "not known_red and not heavy and not crowd"
	$(BIN)/python -m pytest -n 3 -m "heavy and not known_red"
	$(BIN)/python -m pytest -m "crowd and not known_red"

lint: setup ## Check format and lint
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: setup ## Check the types
	$(BIN)/mypy

format: setup ## Format and mend what the linter can
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

SECONDS ?= 60
fuzz: setup ## Run all state machines with new seeds for SECONDS=60
	$(BIN)/python -m tools.fuzz --seconds $(SECONDS)

check: lint types test ## All that .ci/run does

demo: setup ## Run a whole deployment on loopback, twice the same
	$(BIN)/python -m tools.demo

soak: setup ## True outcomes under faults, in 3 minutes or less
	$(BIN)/python -m tools.soak

SEEDS ?= 1-50
platform-soak: setup ## The platform's programs under drawn faults, SEEDS=1-50
	$(BIN)/python -m tools.platform_soak --seeds $(SEEDS) --jobs 3

kills: setup ## Kill each replica in turn under a stream of changes
	$(BIN)/python -m tools.replica_kills

experiment: setup ## Compare placements on engines in virtual time, in 3 minutes or less
	$(BIN)/python -m tools.experiment --plots results/tmp

bench: setup ## Measure both deployments in 5 minutes or less
	$(BIN)/python -m benchmarks.bench

bench-quick: setup ## The same in under 50 seconds
	$(BIN)/python -m benchmarks.bench --quick

slopes: setup ## Measure the slopes of all roles in 3 minutes or less
	$(BIN)/python -m benchmarks.slopes

count: ## Count the lines of code by area
	@$(PYTHON) -m tools.count
