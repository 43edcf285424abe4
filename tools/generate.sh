#!/bin/sh
# Generates Go code from a .proto file. Usage: generate.sh DIR FILE, with DIR
# relative to the repository root. Called by go generate. Needs protoc (Debian
# package protobuf-compiler).
set -eu
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
root=$(cd "$(dirname "$0")/.." && pwd)
(cd "$root/tools" && GOBIN="$bin" go install google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp)
cd "$root/$1"
PATH="$bin:$PATH" protoc --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. "$2"
