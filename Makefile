PYTHON ?= python3.11
VENV ?= .venv
PACKAGES = packages/savoryroute packages/savoryroute_cli packages/savoryroute_lab
BIN = $(VENV)/bin
export PYTHONPATH = $(CURDIR)/packages/savoryroute:$(CURDIR)/packages/savoryroute_cli:$(CURDIR)/packages/savoryroute_lab:$(CURDIR)/platform:$(CURDIR)
SECONDS ?= 120
SEEDS ?= 50

.PHONY: setup format lint test demo bench slopes fuzz soak

setup: $(VENV)/installed

$(VENV)/installed: requirements.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.txt setuptools wheel
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps $(addprefix -e ,$(PACKAGES))
	touch $@

format: setup
	$(BIN)/ruff format packages platform tests

lint: setup
	$(BIN)/ruff format --check packages platform tests
	$(BIN)/ruff check packages platform tests

test: setup
	$(BIN)/python -m tests.run

demo: setup
	$(BIN)/python -m savoryroute_lab.demo

bench: setup
	$(BIN)/python -m savoryroute_lab.bench

slopes: setup
	$(BIN)/python -m savoryroute_lab.slopes

fuzz: setup
	$(BIN)/python -m tests.fuzz --seconds $(SECONDS)

soak: setup
	$(BIN)/python -m tests.soak.soak --seeds $(SEEDS) --seconds 10
