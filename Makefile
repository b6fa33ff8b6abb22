# Commands for users and developers; each sets up what it needs.
# The Python to make the environment with: make setup PYTHON=/path/to/python3.11
PYTHON ?= python3.11
VENV := .venv
RUN := $(VENV)/bin/python
INSTALLED := $(VENV)/installed
# What a library without a wheel for this machine needs while it is built without isolation.
BUILD_REQUIREMENTS = $$(grep -E '^(setuptools|pbr)==' requirements.lock)
SEEDS ?= 1-200
SECONDS ?= 20

.PHONY: setup test lint format demo bench simulate soak mutants result-codes

setup: $(INSTALLED)

$(INSTALLED): requirements.lock pyproject.toml
	test -x $(RUN) || $(PYTHON) -m venv $(VENV)
	$(RUN) -m pip install --quiet --disable-pip-version-check $(BUILD_REQUIREMENTS)
	$(RUN) -m pip install --quiet --disable-pip-version-check --no-build-isolation -r requirements.lock
	$(RUN) -m pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps -e .
	touch $(INSTALLED)

lint: $(INSTALLED)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(RUN) -m tools.result_code_table --check

format: $(INSTALLED)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

result-codes: $(INSTALLED)
	$(RUN) -m tools.result_code_table

test: lint
	@$(RUN) -m features.support.run_features

demo: $(INSTALLED)
	@$(VENV)/bin/limedyke-lab demo

bench: $(INSTALLED)
	@$(VENV)/bin/limedyke-lab bench

simulate: $(INSTALLED)
	@$(VENV)/bin/limedyke-lab simulate --seeds $(SEEDS)

soak: SEEDS = 1-5
soak: $(INSTALLED)
	@$(RUN) -m features.soak.run $(SEEDS) $(SECONDS)

mutants: $(INSTALLED)
	@$(VENV)/bin/limedyke-lab mutants
