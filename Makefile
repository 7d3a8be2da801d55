# Everything runs in a virtual environment of its own; VENV names another one.
VENV ?= .venv
PY := $(VENV)/bin/python
export PYTHONPATH := src

.PHONY: test lint demo up bench chaos soak

$(VENV)/installed: pyproject.toml constraints.txt
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $@

lint: $(VENV)/installed
	$(PY) -m ruff format --check src tests bench examples
	$(PY) -m ruff check src tests bench examples

test: lint
	$(PY) -m pytest
