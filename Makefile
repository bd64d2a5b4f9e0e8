# Main commands on a fresh machine with Python 3.11: `make demo`, `make fleet`, `make test`.
PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
PACKAGES := records store peers shares routing moves claims steering host entry client
SOURCES := $(foreach p,$(PACKAGES),$(CURDIR)/packages/$(p)/src) $(CURDIR)/platform/src $(CURDIR)/standin/src
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(strip $(SOURCES)))
CODE := packages platform standin tests features bench

.PHONY: venv demo fleet test lint types unit features client-limits format

venv: $(VENV)/.ready

$(VENV)/.ready: requirements.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --require-hashes -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps $(foreach p,$(PACKAGES),-e packages/$(p)) -e platform
	touch $@

demo: venv
	$(BIN)/python -m radishbridge_standin.demo

fleet: venv
	$(BIN)/python -m radishbridge_standin.demo --keep

test: lint types unit features client-limits

lint: venv
	$(BIN)/black --check --quiet $(CODE)
	$(BIN)/ruff check $(CODE)

types: venv
	$(BIN)/mypy

unit: venv
	$(BIN)/python -m pytest

features: venv
	$(BIN)/behave --format progress features

# Clients beyond the limits, without other load.
client-limits: venv
	$(BIN)/python -m pytest -m client_limits tests/test_client_limits.py

format: venv
	$(BIN)/black --quiet $(CODE)
	$(BIN)/ruff check --fix $(CODE)
	$(BIN)/black --quiet $(CODE)

.PHONY: slopes capacity

slopes: venv
	mkdir -p bench/results
	PYTHONPATH=$(PYTHONPATH):$(CURDIR) $(BIN)/python -m bench.slopes > bench/results/slopes.json

capacity: venv
	PYTHONPATH=$(PYTHONPATH):$(CURDIR) $(BIN)/python -m bench.capacity

# Runs the randomized soak test of entry hosts under faults: make soak SEED=n RUNS=n SECONDS=n HOSTS=n
.PHONY: soak
SEED ?= 1
RUNS ?= 1
SECONDS ?= 20
HOSTS ?= 5

soak: venv
	cd tests && $(CURDIR)/$(BIN)/python -m soak --seed $(SEED) --runs $(RUNS) --seconds $(SECONDS) --hosts $(HOSTS)

# Plays days with other seeds on the sites that earlier landings have passed, with the users' bench.
.PHONY: hunt-regression
KIT ?= ../given/kit/more/system
FLEETBENCH ?= $(KIT)/more/bench-d17393/bin/fleetbench
REGRESSION_SITES ?= sites/schulimage-by sites/makas-tur further/tfnyomda-gslb
DAYS ?= 8

hunt-regression: venv
	for site in $(REGRESSION_SITES); do $(FLEETBENCH) hunt $(KIT)/$$site.toml --days $(DAYS) --jobs 2 --why "regression" || exit 1; done
