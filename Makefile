# The environment is rebuilt only when the lock file changes.
VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: test demo bench soak format lint unit

$(STAMP): requirements.lock
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q --disable-pip-version-check \
		-r requirements.lock
	touch $(STAMP)

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/flake8 .

unit: $(STAMP)
	$(PYTHON) -m pytest

test: lint unit

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

demo: $(STAMP)
	$(PYTHON) -m demo

bench: $(STAMP)
	$(PYTHON) -m bench

# Randomized faults on real daemons: make soak SEEDS=10 FIRST_SEED=1
SEEDS ?= 10
soak: $(STAMP)
	$(PYTHON) -m soak --seeds $(SEEDS) $(if $(FIRST_SEED),--first-seed $(FIRST_SEED))
