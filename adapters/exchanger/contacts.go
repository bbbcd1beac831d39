package exchanger

import "cactusroute.dev/core/placer"

// Preferred returns the control instance to which a process in a failure domain is sent, other than the one named self:
// one of the domain if there is any. An ID selects among several by rendezvous hashing; without one, it is the first.
func Preferred(list []Contact, self, domain, id string) (best Contact, ok bool) {
	var bestKey placer.Key
	for _, c := range list {
		isLocal, isBestLocal := c.Domain == domain, best.Domain == domain
		if c.Name == self || ok && isBestLocal && !isLocal {
			continue
		}
		key := placer.KeyOf(id, c.Name)
		if !ok || isLocal && !isBestLocal || id != "" && key > bestKey {
			best, bestKey, ok = c, key, true
		}
	}
	return best, ok
}
