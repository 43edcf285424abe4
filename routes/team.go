package routes

import "crypto/sha256"

// KeyHash is the SHA-256 hash of an API key. Keys themselves are not kept.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Team is a customer whose callers identify themselves with API keys.
type Team struct {
	Name        string
	Index       int // position in the list of the desired state
	Keys        []KeyHash
	Priority    int     // 0 is the most urgent; precedes the priority of the route
	PlainTokens float64 // tokens that a request counts as if it names none
	Rate        float64 // allowance over all entry nodes, in tokens per second; zero for no limit
	Burst       float64 // tokens that may be used at once in addition; zero for one second of Rate
}
