# Build, test, lint and run from the repository's files.
PYTHON = .venv/bin/python

.PHONY: build test lint run example sites clean

build: .venv/dev.txt

.venv/dev.txt: requirements.txt requirements-dev.txt
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements-dev.txt
	cp requirements-dev.txt $@

test: build
	$(PYTHON) -m pytest

lint: build
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .
	.venv/bin/mypy

run: build
	$(PYTHON) -m myrtlecrank serve $(CONFIG)

example: build
	$(PYTHON) examples/toy.py

# What the bench wants beside our own sites; it is the bench's, so it stays out of the repository.
GIVEN = ../given/kit/more/mass/other
sites:
	@test -d $(GIVEN) || { echo "make sites: $(GIVEN) is not there, so the sites cannot be played here" >&2; exit 2; }
	for site in deploy/sites/*/; do cp -f $(GIVEN)/real.json $(GIVEN)/wire.json $(GIVEN)/unlock.txt $$site; done

clean:
	rm -rf .venv .mypy_cache .pytest_cache .ruff_cache
