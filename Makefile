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

capacity:
	$(GO) test -run '^$$' -benchmem -benchtime 200ms \
		-bench 'Exchange|Memory|Spread|Pick|Spend|Admit|PushPop|PlanCell|TickCell|Report|Replay|EncodeState|DecodeState' \
		./lib/mesh ./lib/router ./lib/quota ./lib/filter/admission ./lib/fairqueue ./lib/placement ./lib/controller ./lib/ticket

measure:
	$(GO) run ./cmd/cuminhook-replay measure examples/trinacria/deployment.yaml examples/virtasen/deployment.yaml

demo: build
	./scripts/demo.sh
