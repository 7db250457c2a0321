GO ?= go
GOFILES := $(shell git ls-files -co --exclude-standard '*.go' | grep -v '\.pb\.go$$')

.PHONY: build lint test generate demo measure ablation bench capacity matrix fuzz soak

build:
	$(GO) build -o bin/ ./cmd/...

lint:
	@out="$$($(GO) tool gofumpt -l $(GOFILES))"; if [ -n "$$out" ]; then echo "gofumpt: not formatted:"; echo "$$out"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool revive -config revive.toml -set_exit_status ./...

test:
	./scripts/test

generate:
	$(GO) build -o bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	$(GO) build -o bin/protoc-gen-go-vtproto github.com/planetscale/vtprotobuf/cmd/protoc-gen-go-vtproto
	PATH="$(CURDIR)/bin:$$PATH" protoc --go_out=. --go_opt=paths=source_relative internal/wire/wirepb/wire.proto internal/record/recpb/record.proto
	PATH="$(CURDIR)/bin:$$PATH" protoc --go-vtproto_out=. --go-vtproto_opt=paths=source_relative,features=marshal+unmarshal_unsafe+size internal/wire/wirepb/wire.proto

demo: build
	./scripts/demo
	./bin/briarfake platform

# Runs the tests that internal/matrix names and writes docs/matrix.md.
matrix:
	$(GO) run ./internal/matrix/report -out docs/matrix.md

# Measures how costs grow with size; takes under 4 minutes. See docs/CAPACITY.md.
capacity: build
	$(GO) build -o bin/capac ./internal/capac
	./bin/capac -out docs/capacity.csv -dir out/capacity

# Prints goodput, recovery and service by rank under overload; takes under 3 minutes.
measure:
	$(GO) test ./internal/bench -run TestMeasure -count=1 -v -args -measure -out $(CURDIR)/out/measure.csv

# Prints the same with each mechanism switched off in turn.
ablation:
	$(GO) test ./internal/bench -run TestMeasure -count=1 -v -args -ablate -out $(CURDIR)/out/ablation.csv

# Measures the decisions on the path of a request on 1 and 10 cores.
bench:
	$(GO) test -run '^$$' -bench . -benchmem -cpu 1,10 ./pkg/...

# Looks for inputs that break a decoder of bytes from outside the process, FUZZTIME each; the committed corpora are
# replayed by make test.
FUZZTIME ?= 20s
FUZZ := pkg/rules:FuzzDecode internal/setup:FuzzDecode internal/setup:FuzzDecodeSidecar internal/record:FuzzDecodeGroup \
	internal/pipe:FuzzConn internal/http1:FuzzChecker internal/server:FuzzResponse internal/peer:FuzzSession internal/wire:FuzzRead \
	platform:FuzzDecodeNewest platform:FuzzDecodePage platform:FuzzDecodeMember platform:FuzzDecodeConfig platform:FuzzReport
fuzz:
	set -e; for f in $(FUZZ); do \
		$(GO) test ./$${f%:*} -run '^$$' -fuzz "^$${f#*:}$$" -fuzztime $(FUZZTIME); \
	done

# Plays one run of the fault soak, or RUNS of them with one seed after the other; reports are in out/soak. See docs/soak.md.
SEED ?= 1
RUNS ?= 1
soak: build
	./bin/briarfake soak --seed $(SEED) --runs $(RUNS)
