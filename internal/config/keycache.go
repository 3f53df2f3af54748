package config

import "bytes"

// keyAnswer is the first answer to a publish key.
type keyAnswer struct {
	Key    string  `cbor:"1,keyasint"`
	Digest []byte  `cbor:"2,keyasint"`
	Answer *Answer `cbor:"3,keyasint"`
}

// keyCache holds the last limit publish keys with their answers.
type keyCache struct {
	limit int
	order []*keyAnswer // oldest first
	byKey map[string]*keyAnswer
}

func newKeyCache(limit int) *keyCache { return &keyCache{limit: limit, byKey: map[string]*keyAnswer{}} }

func (c *keyCache) add(a *keyAnswer) {
	if len(c.order) == c.limit {
		delete(c.byKey, c.order[0].Key)
		c.order[0] = nil
		c.order = c.order[1:]
	}
	c.order = append(c.order, a)
	c.byKey[a.Key] = a
}

// restore replaces the content with that of a snapshot.
func (c *keyCache) restore(list []*keyAnswer) {
	c.order = nil
	c.byKey = map[string]*keyAnswer{}
	for _, a := range list {
		c.add(a)
	}
}

// matches reports whether the answer belongs to a publish with this digest.
func (a *keyAnswer) matches(digest []byte) bool { return bytes.Equal(a.Digest, digest) }
