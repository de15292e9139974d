GOFUMPT = go run mvdan.cc/gofumpt@v0.12.0
REVIVE = go run github.com/mgechev/revive@v1.15.0

.PHONY: all build demo measure check vet format lint test fmt

all: build

build:
	go build -o endivehitch .

demo: build
	./endivehitch demo

# Reports each decision's measure against its baselines, as ratios in one run.
measure:
	go test -run '^$$' -bench Measure -benchtime 1x ./...

check: vet format lint test

vet:
	go build ./...
	go vet ./...

format:
	@files=$$($(GOFUMPT) -l .); if [ -n "$$files" ]; then echo "not formatted:"; echo "$$files"; exit 1; fi

fmt:
	$(GOFUMPT) -w .

lint:
	$(REVIVE) -config revive.toml ./...

test:
	go test -race -count=2 ./...
