# Shortcuts for the common tasks; CMake builds the code.
BUILD ?= build
# The packages of the build are listed in the deploy file; the others are for tests.
BUILD_PACKAGES = $(shell sed -n '/^packages = \[/,/^\]/p' deploy/system.toml | grep -o '"[^"]*"' | tr -d '"')
TEST_PACKAGES = apt ccache clang-format clang-tidy curl doctest-dev gcc git librapidcheck-dev netcat-openbsd \
  ninja-build python3 spin strace
PACKAGES = $(BUILD_PACKAGES) $(TEST_PACKAGES)

.PHONY: build install-packages demo test unit scenarios model explore fuzz process memory bench capacity asan \
  tsan format check-format check-co-await tidy packages package-lists inventory

# Installs only missing packages, so that a repeated run is safe and needs no network. Recommended packages
# are not installed, as on the users' machines.
install-packages:
	@missing=$$(for p in $(PACKAGES); do dpkg -s $$p >/dev/null 2>&1 || echo $$p; done); \
	if [ -n "$$missing" ]; then echo "installing:" $$missing; \
	  apt-get update -qq && apt-get install -y -qq --no-install-recommends $$missing >/dev/null; fi

build: install-packages
	@cmake -G Ninja -B $(BUILD) -DCMAKE_CXX_COMPILER_LAUNCHER=ccache $(CMAKE_FLAGS) >/dev/null
	@cmake --build $(BUILD)

# Fetches apt's package lists if they are missing; tests/packages/check.py uses them to simulate a clean machine.
package-lists:
	@apt-get -s -o Dir::State::status=/dev/null install make >/dev/null 2>&1 || apt-get update -qq

# Checks that the deploy file's build uses only files that its packages install on a clean machine.
packages: install-packages package-lists
	@python3 tests/packages/check.py

# Prints each file that the build uses, tab-separated: package, direct or indirect, kind, path.
inventory: install-packages package-lists
	@python3 tests/packages/check.py --inventory

demo: build
	@BUILD=$(BUILD) tools/demo.sh

test: build package-lists
	@BUILD=$(BUILD) tools/test.sh

unit: build
	@BUILD=$(BUILD) tools/unit.sh

scenarios: build
	@$(BUILD)/tests/scenarios tests/scenarios/*.scn

model:
	@tools/model.sh

# Runs random schedules for SECONDS and prints their seeds; the first one is SEED.
explore: build
	@$(BUILD)/tests/explore --seconds $(or $(SECONDS),60) --first-seed $(or $(SEED),1000)

# Decodes INPUTS random inputs; SEED makes them repeatable.
fuzz: build
	@$(BUILD)/tests/fuzz --inputs $(or $(INPUTS),20000) --seed $(or $(SEED),1)

memory: build
	@BUILD=$(BUILD) tools/memory.sh

process: build
	@BUILD=$(BUILD) tools/process.sh

bench: build
	@$(BUILD)/tests/bench

capacity: build
	@$(BUILD)/tests/capacity

asan:
	@$(MAKE) --no-print-directory unit BUILD=build-asan CMAKE_FLAGS=-DVANILLALOFT_ASAN=ON

tsan:
	@$(MAKE) --no-print-directory unit BUILD=build-tsan CMAKE_FLAGS=-DVANILLALOFT_TSAN=ON

format:
	@git ls-files '*.cc' '*.h' | grep -v /gen/ | xargs clang-format -i

check-format:
	@git ls-files '*.cc' '*.h' | grep -v /gen/ | xargs clang-format --dry-run --Werror

# Fails if co_await is an operand of &&, || or ?:, which g++ 12 evaluates wrongly.
check-co-await:
	@python3 tests/style/co_await_test.py
	@git ls-files '*.cc' '*.h' | grep -v /gen/ | xargs python3 tools/co_await.py

tidy: build
	@git ls-files 'src/*.cc' 'platform/*.cc' | grep -v /gen/ | xargs -P 8 -n 1 clang-tidy -p $(BUILD) --quiet
