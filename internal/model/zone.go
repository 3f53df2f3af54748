package model

import "github.com/cespare/xxhash/v2"

// OwnerZone returns the availability zone that owns the job identified by
// customer and key. It uses rendezvous hashing, so the result does not depend
// on the order of zones. zones must not be empty.
func OwnerZone(zones []string, customer, key string) string {
	best := zones[0]
	var bestScore uint64
	for _, z := range zones {
		d := xxhash.New()
		_, _ = d.WriteString(z)
		_, _ = d.WriteString("\x00" + customer + "\x00" + key)
		score := d.Sum64()
		if score > bestScore || (score == bestScore && z < best) {
			best = z
			bestScore = score
		}
	}
	return best
}
