.PHONY: build lint test ci demo bench capacity clean

build:
	CGO_ENABLED=1 go build -o bin/ ./entry/cmd/... ./control/cmd/... ./ctl/cmd/... ./standin/cmd/... ./bench/cmd/... ./platform/cmd/...

lint:
	tools/install.sh
	tools/lint.sh

test:
	tools/test.sh

ci:
	.ci/run

demo: build
	bin/azuredoor-bench demo $(if $(HOLD),-hold) -bin bin

bench: build
	bin/azuredoor-bench bench $(if $(SHORT),-short) -bin bin

capacity: build
	bin/azuredoor-bench capacity -bin bin

clean:
	rm -rf bin .run out
