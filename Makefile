# Each target sets up what it needs: a venv of its own with pinned packages.
PYTHON ?= python3
VENV := .venv
SOAK_SEEDS ?= 10
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := packages/core packages/node packages/ops packages/tools \
	packages/token platform platform/soak
MANIFESTS := $(addsuffix /pyproject.toml,$(PACKAGES))

.PHONY: soak setup demo demo-token test capacity lint format

setup: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt $(MANIFESTS)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps $(addprefix --editable ,$(PACKAGES))
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m hibiscushatch_tools.demo

demo-token: $(STAMP)
	$(BIN)/python -m hibiscushatch_soak.soak --seconds 0

test: $(STAMP)
	$(BIN)/python -m hibiscushatch_tools.run_tests

soak: $(STAMP)
	$(BIN)/python -m hibiscushatch_soak.soak --seeds $(SOAK_SEEDS)

capacity: $(STAMP)
	$(BIN)/python -m hibiscushatch_tools.capacity

lint: $(STAMP)
	$(BIN)/ruff format --check packages platform
	$(BIN)/ruff check packages platform
	$(BIN)/flake8 packages platform

format: $(STAMP)
	$(BIN)/ruff format packages platform
	$(BIN)/ruff check --fix packages platform
