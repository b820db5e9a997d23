# Shortcuts for CMake and the scripts in src/build-scripts. Each target prints its progress and ends by itself.
BUILD ?= build
BUILD_TYPE ?= RelWithDebInfo
JOBS ?= $(shell nproc)

.PHONY: all deps build format lint unit test demo fuzz bench capacity soak asan tsan clean

all: build

deps:
	@src/build-scripts/install-dependencies.sh

$(BUILD)/build.ninja: CMakeLists.txt
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=$(BUILD_TYPE) $(CMAKE_FLAGS)

build: deps
	@$(MAKE) --no-print-directory $(BUILD)/build.ninja
	cmake --build $(BUILD) -j $(JOBS)

format:
	src/build-scripts/format.sh

lint: build
	src/build-scripts/format.sh --check
	src/build-scripts/lint.sh $(BUILD)

unit: build
	src/build-scripts/run-tests.sh $(BUILD)

test: build
	@$(MAKE) --no-print-directory lint
	@$(MAKE) --no-print-directory unit

demo: build
	testsuite/demo/run.sh $(BUILD)

fuzz: build
	src/build-scripts/fuzz.sh $(BUILD)

bench: build
	src/build-scripts/bench.sh $(BUILD)

capacity: build
	src/build-scripts/capacity.sh $(BUILD)

soak: build
	LOVAGEHOLD_SOAK=1 src/build-scripts/run-tests.sh $(BUILD) -L testsuite

asan:
	$(MAKE) unit BUILD=build-asan CMAKE_FLAGS="-DLOVAGEHOLD_SANITIZE=address,undefined"

tsan:
	$(MAKE) unit BUILD=build-tsan CMAKE_FLAGS="-DLOVAGEHOLD_SANITIZE=thread"

clean:
	rm -rf build build-asan build-tsan
