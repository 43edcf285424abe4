package membership

//go:generate sh ../tools/generate.sh membership packet.proto
