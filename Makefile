PYTHON ?= python3
BIN := .venv/bin
DEPLOYMENT ?= plovdiv
FIRST ?= 1
COUNT ?= 50
SIZE ?= 4

.PHONY: demo test lint fuzz soak

.venv/ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps \
		--no-build-isolation -e .
	touch $@

demo: .venv/ready
	$(BIN)/python -m bench demo --deployment $(DEPLOYMENT)

test: .venv/ready
	$(BIN)/python -m nose2 -v

lint: .venv/ready
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

# A long search for schedules that break a promise; CI runs a short, fixed one.
fuzz: .venv/ready
	JACKDAW_FUZZ_EXAMPLES=5000 $(BIN)/python -m nose2 -v tests.test_fuzz_once_only \
		tests.test_fuzz_admission tests.test_fuzz_publications \
		tests.test_fuzz_slots tests.test_fuzz_gossip tests.test_fuzz_notices \
		tests.test_fuzz_documents tests.test_fuzz_link_order \
		tests.test_fuzz_occupants tests.test_fuzz_framing

# Real daemons under overlapping faults; CI runs three seeds.
soak: .venv/ready
	$(BIN)/python -m tests.soak --first $(FIRST) --count $(COUNT) --size $(SIZE)
