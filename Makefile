# Everything runs in a virtual environment of its own; VENV names another one.
VENV ?= .venv
PY := $(VENV)/bin/python
export PYTHONPATH := src

MINUTES ?= 5
SEED ?= 1

.PHONY: test lint demo up bench chaos soak fault-soak promotion-soak request-soak membership-soak browser docs

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

soak: $(VENV)/installed
	$(PY) bench/soak.py --minutes $(MINUTES) --seed $(SEED)

SEEDS ?= 5

fault-soak: $(VENV)/installed
	$(PY) bench/fault_soak.py --failed --seeds $(SEEDS) --seed $(SEED)

promotion-soak: $(VENV)/installed
	$(PY) bench/promotion_soak.py --seeds $(SEEDS) --seed $(SEED)

request-soak: $(VENV)/installed
	$(PY) bench/request_soak.py --seeds $(SEEDS) --seed $(SEED)

membership-soak: $(VENV)/installed
	$(PY) bench/membership_soak.py --seeds $(SEEDS) --seed $(SEED)

# The browser test needs Debian's packages chromium and chromium-driver.
browser: $(VENV)/installed
	$(PY) -m pytest tests/browser/forms_browser.py tests/browser/fleet_browser.py

docs: $(VENV)/installed
	$(PY) docs/generate.py

# Each bench prints a table and a last line of JSON; most take a minute.
bench: $(VENV)/installed
	$(PY) bench/decision_cost.py
	$(PY) bench/policies.py
	$(PY) bench/quota_demand.py
	$(PY) bench/statement_cost.py
	$(PY) bench/relay.py
	$(PY) bench/framing.py
	-$(PY) bench/throughput.py
	-$(PY) bench/added_latency.py
	$(PY) bench/idle_memory.py
	$(PY) bench/half_open.py
	$(PY) bench/metrics_cost.py
	$(PY) bench/document_cost.py
	PYTHONPATH=src:tests $(PY) bench/failover_gap.py
	PYTHONPATH=src:tests:bench $(PY) bench/control_cost.py
	PYTHONPATH=src:tests:bench $(PY) bench/propagation.py
	$(PY) bench/measures.py
