# Everything runs in a virtual environment of its own; VENV names another one.
VENV ?= .venv
PY := $(VENV)/bin/python
export PYTHONPATH := src

MINUTES ?= 5
SEED ?= 1

.PHONY: test lint demo up bench chaos soak browser proto

$(VENV)/installed: pyproject.toml constraints.txt
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $@

lint: $(VENV)/installed
	$(PY) -m ruff format --check src tests bench examples
	$(PY) -m ruff check src tests bench examples

test: lint
	$(PY) -m pytest

demo: $(VENV)/installed
	$(PY) examples/local/demo.py

up: $(VENV)/installed
	$(PY) examples/local/up.py

chaos: $(VENV)/installed
	$(PY) examples/local/chaos.py --minutes $(MINUTES) --seed $(SEED)
