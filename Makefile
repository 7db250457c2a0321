GO ?= go
GOFILES := $(shell git ls-files -co --exclude-standard '*.go' | grep -v '\.pb\.go$$')

.PHONY: build lint test generate demo measure ablation bench capacity matrix fuzz

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
	PATH="$(CURDIR)/bin:$$PATH" protoc --go_out=. --go_opt=paths=source_relative internal/wire/wirepb/wire.proto internal/record/recpb/record.proto

demo: build
	./scripts/demo

measure:
	$(GO) test ./internal/bench -run TestMeasure -count=1 -v -args -measure -out $(CURDIR)/out/measure.csv

ablation:
	$(GO) test ./internal/bench -run TestMeasure -count=1 -v -args -ablate -out $(CURDIR)/out/ablation.csv

bench:
	$(GO) test -run '^$$' -bench . -benchmem -cpu 1,10 ./pkg/...
