GO ?= go

.PHONY: build test fmt bench measure capacity demo

build:
	$(GO) build -o bin/ ./cmd/...

test:
	./scripts/check.sh

fmt:
	$(GO) tool gofumpt -w $$(git ls-files --cached --others --exclude-standard '*.go')

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./lib/...

measure:
	$(GO) run ./cmd/cuminhook-replay measure examples/trinacria/deployment.yaml examples/virtasen/deployment.yaml

demo: build
	./scripts/demo.sh
