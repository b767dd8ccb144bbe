# make test: set up and run every test. make lint: formatter and linter.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
PACKAGES := packages/mothworks packages/mothctl packages/mothworks_fakes
STAMP := $(VENV)/.installed

export PYTHONPATH := $(CURDIR)/packages/mothworks/src:$(CURDIR)/packages/mothctl/src:$(CURDIR)/packages/mothworks_fakes/src

.PHONY: test lint format demo clean

$(STAMP): requirements-dev.txt $(addsuffix /pyproject.toml,$(PACKAGES))
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -c constraints.txt -r requirements-dev.txt
	touch $(STAMP)

test: $(STAMP)
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/ruff format --check packages
	$(BIN)/ruff check packages

format: $(STAMP)
	$(BIN)/ruff format packages
	$(BIN)/ruff check --fix packages

demo: $(STAMP)
	$(BIN)/python -m mothworks_fakes.demo

clean:
	rm -rf $(VENV)
