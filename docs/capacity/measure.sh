#!/bin/sh
# Runs the benchmarks behind docs/CAPACITY.md, one package after another, and
# writes their output to docs/capacity/bench.txt. Takes some minutes; run it on
# a machine that does nothing else. Then: go run ./internal/capacity
set -eu
cd "$(dirname "$0")/../.."
out=docs/capacity/bench.txt

bench() {
	rounds=$1
	pattern=$2
	shift 2
	go test -run '^$' -bench "$pattern" -benchtime "$rounds" -p 1 -timeout 20m "$@" |
		grep -E '^(goos|goarch|pkg|cpu|Benchmark)'
}

{
	bench 1x 'Scale' ./membership
	bench 10x 'Scale' ./release
	bench 10x 'Scale' ./controller ./placement
	bench 2000x 'Decision|SetReplicas' ./admission
	bench 1000x 'Scale|KeyedCall' ./internal/entry ./engine ./idempotency
	bench 300x 'Overhead|Throughput|ScaleStream' ./internal/node
} >"$out"
