# Build, test, lint and run from the repository's files.
PYTHON = .venv/bin/python

.PHONY: build test lint run example clean

build: .venv/dev.txt

.venv/dev.txt: requirements.txt requirements-dev.txt
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements-dev.txt
	cp requirements-dev.txt $@

test: build
	$(PYTHON) -m pytest

lint: build
	.venv/bin/ruff check .
	.venv/bin/mypy

run: build
	$(PYTHON) -m myrtlecrank serve $(CONFIG)

example: build
	$(PYTHON) examples/toy.py

clean:
	rm -rf .venv .mypy_cache .pytest_cache .ruff_cache
