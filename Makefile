VENV := .venv
PYTHON := $(VENV)/bin/python

.PHONY: setup format lint test demo bench capacity faults soak clean

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet -r requirements.lock
	$(PYTHON) -m pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

format: setup
	$(VENV)/bin/ruff format src tests bench examples
	$(VENV)/bin/ruff check --fix src tests bench examples

lint: setup
	$(VENV)/bin/ruff format --check src tests bench examples
	$(VENV)/bin/ruff check src tests bench examples
	$(VENV)/bin/lint-imports
	$(VENV)/bin/mypy

test: lint
	$(PYTHON) -m pytest

demo: setup
	$(PYTHON) -m bench.demo

bench: setup
	$(PYTHON) -m bench.decisions
	$(PYTHON) -m bench.entry

capacity: setup
	$(PYTHON) -m bench.capacity

faults: setup
	$(PYTHON) -m bench.faults

FIRST ?= 1
COUNT ?= 50
soak: setup
	$(PYTHON) -m tests.soak $(FIRST) $(COUNT)

clean:
	rm -rf $(VENV) build
