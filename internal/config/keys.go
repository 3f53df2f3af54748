package config

import "bytes"

// remembered is the first answer to a publish key.
type remembered struct {
	Key    string  `cbor:"1,keyasint"`
	Digest []byte  `cbor:"2,keyasint"`
	Answer *Answer `cbor:"3,keyasint"`
}

// keyring remembers the last limit publish keys, oldest first.
type keyring struct {
	limit int
	order []*remembered
	byKey map[string]*remembered
}

func newKeyring(limit int) *keyring { return &keyring{limit: limit, byKey: map[string]*remembered{}} }

func (k *keyring) add(r *remembered) {
	if len(k.order) == k.limit {
		delete(k.byKey, k.order[0].Key)
		k.order[0] = nil
		k.order = k.order[1:]
	}
	k.order = append(k.order, r)
	k.byKey[r.Key] = r
}

// fill replaces the content by a snapshot's.
func (k *keyring) fill(list []*remembered) {
	k.order = nil
	k.byKey = map[string]*remembered{}
	for _, r := range list {
		k.add(r)
	}
}

func (r *remembered) matches(digest []byte) bool { return bytes.Equal(r.Digest, digest) }
