package release

//go:generate sh ../tools/generate.sh release release.proto
