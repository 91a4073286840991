# Main targets: demo, test.

VENV := .venv
PYTHON := $(VENV)/bin/python
PACKAGES := core daemon cli standins
STAMP := $(VENV)/installed

.PHONY: demo test lint format schema clean

demo: $(STAMP)
	$(PYTHON) -m wisterialug_standins.demo
	$(PYTHON) -W ignore -m wisterialug_standins.workflow_demo

test: $(STAMP) lint
	PATH="$(CURDIR)/$(VENV)/bin:$$PATH" PYTHONHASHSEED=0 $(PYTHON) -m tests.runner

lint: $(STAMP)
	$(VENV)/bin/ruff format --check --quiet .
	$(VENV)/bin/ruff check --quiet .

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

schema: $(STAMP)
	PATH="$(CURDIR)/$(VENV)/bin:$$PATH" schema/generate.sh

$(STAMP): requirements.txt $(foreach p,$(PACKAGES),packages/wisterialug-$(p)/pyproject.toml)
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements.txt
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps \
	  --no-build-isolation $(foreach p,$(PACKAGES),-e packages/wisterialug-$(p))
	touch $(STAMP)

clean:
	rm -rf $(VENV)
