# make test: set up and run every test. make lint: formatter and linter.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
PACKAGES := packages/mothworks packages/mothctl packages/mothworks_fakes \
	packages/mothworks_gateway platform
# Names the kind of machine and the version of Python, for which the environment is made.
KIND := $(shell $(PYTHON) -c "import platform as p; print(p.machine(), p.python_version(), sep='-')")
STAMP := $(VENV)/.installed-$(KIND)

empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(foreach package,$(PACKAGES),$(CURDIR)/$(package)/src))

.PHONY: test lint format demo clean

$(STAMP): requirements-dev.txt $(addsuffix /pyproject.toml,$(PACKAGES))
	test -e $@ || $(PYTHON) -m venv --clear $(VENV)
	$(BIN)/python -m pip install --quiet -c constraints.txt -r requirements-dev.txt
	touch $(STAMP)

test: $(STAMP)
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/ruff format --check packages platform deploy conftest.py
	$(BIN)/ruff check packages platform deploy conftest.py

format: $(STAMP)
	$(BIN)/ruff format packages platform deploy conftest.py
	$(BIN)/ruff check --fix packages platform deploy conftest.py

demo: $(STAMP)
	$(BIN)/python -m mothworks_fakes.demo

clean:
	rm -rf $(VENV)
