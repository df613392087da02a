# The commands of this project.
#
#   make demo     sets up, runs the main job once, prints a summary, ends
#   make test     sets up and runs all tests
#   make bench    runs every bench (BENCH=name for one)
#   make build    builds into build/
#   make format   formats the sources
#   make lint     runs clang-tidy
#   make clean    removes what was built

BENCH ?= all

.PHONY: demo test bench build format lint clean

demo:
	scripts/demo

test:
	scripts/test

bench:
	scripts/bench $(BENCH)

build:
	scripts/install-deps
	scripts/build

format:
	scripts/format

lint:
	scripts/lint

clean:
	rm -rf build build-* out
