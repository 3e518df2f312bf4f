PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: setup test lint demo

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --editable '.[dev]'
	touch $@

test: setup
	$(BIN)/python -m test

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check --no-cache .
	$(BIN)/python -m test.check_docs

demo: setup
	$(BIN)/python -m test.demo
