VENV ?= .venv
PYTHON ?= python3
RUN := $(VENV)/bin/python

.PHONY: install test lint format demo model bench costs matrix experiment clean

install: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --editable '.[dev]'
	touch $@

test: install
	$(RUN) -m extras.run_tests

lint: install
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: install
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

demo: install
	$(RUN) -m extras.demo
	$(RUN) -m extras.gateway_demo

model: install
	$(RUN) -m extras.model_check

bench: install
	$(RUN) -m extras.bench

costs: install
	$(RUN) -m extras.node_cost
	$(RUN) -m extras.measure_peers
	$(RUN) -m extras.control_cost

matrix: install
	$(RUN) -m extras.matrix $(MATRIX)

experiment: install
	$(RUN) -m extras.experiment $(EXPERIMENT)

clean:
	rm -rf $(VENV) build *.egg-info
