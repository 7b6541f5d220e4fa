VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := packages/leadford packages/leadford-server packages/leadford-cli packages/leadford-standins platform
PROJECTS := $(addsuffix /pyproject.toml,$(PACKAGES))

.PHONY: install demo up test lint format bench

install: $(STAMP)

$(STAMP): constraints.txt requirements-dev.txt $(PROJECTS)
	test -x $(BIN)/python || python3 -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt -r requirements-dev.txt $(addprefix -e ,$(PACKAGES)) matplotlib
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/leadford-standins demo

up: $(STAMP)
	$(BIN)/leadford-standins up

test: $(STAMP)
	$(BIN)/python -m pytest $(PYTEST_ARGS)

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: $(STAMP)
	$(BIN)/python bench/path.py
	$(BIN)/python bench/claims.py
