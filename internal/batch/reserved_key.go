package batch

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// A committed configuration tells more of a customer than a published one: its published name if that
// is not its identity, that it is a former customer, and its former keys. They are stored among its
// keys, because every build carries those along and takes them for keys of the customer (decision
// 0010). No caller can send them: a header value has no NUL, and the leader refuses such calls.

const reservedKeyPrefix = "\x00"

// The kinds of reserved keys.
const (
	publishedNameKind  = "name"
	formerCustomerKind = "former"
	formerKeyKind      = "former-key"
)

func isReserved(key string) bool { return strings.HasPrefix(key, reservedKeyPrefix) }

// reservedKey returns a key that stores a value of a customer. The identity makes it unique within a
// configuration.
func reservedKey(kind, identity, value string) string {
	return reservedKeyPrefix + kind + "\x00" + identity + "\x00" + value
}

// formerKey is a key that has belonged to a customer.
type formerKey struct {
	key     string
	lastSeq uint64 // that of the last job for which it did
}

// parseFormerKey returns the former key of a customer that a reserved key stores.
func parseFormerKey(identity, reserved string) (formerKey, bool) {
	value, ok := strings.CutPrefix(reserved, reservedKey(formerKeyKind, identity, ""))
	if !ok {
		return formerKey{}, false
	}
	seq, key, _ := strings.Cut(value, "\x00")
	lastSeq, err := strconv.ParseUint(seq, 10, 64)
	return formerKey{key, lastSeq}, err == nil
}

// formerOwner is a customer that a key has belonged to.
type formerOwner struct {
	identity string
	formerKey
}

// reserved returns the reserved key that stores the former key.
func (f formerOwner) reserved() string {
	return reservedKey(formerKeyKind, f.identity, fmt.Sprintf("%d\x00%s", f.lastSeq, f.key))
}

// reservedKeys returns the reserved keys of an account.
func (a *account) reservedKeys() []string {
	var out []string
	if a.name != a.identity {
		out = append(out, reservedKey(publishedNameKind, a.identity, a.name))
	}
	if a.former {
		out = append(out, reservedKey(formerCustomerKind, a.identity, ""))
	}
	for _, f := range a.formerKeys {
		out = append(out, formerOwner{a.identity, f}.reserved())
	}
	return out
}

// PublishedName returns the name under which the customer was published.
func (c *Customer) PublishedName() string {
	for _, k := range c.Keys {
		if name, ok := strings.CutPrefix(k, reservedKey(publishedNameKind, c.Name, "")); ok {
			return name
		}
	}
	return c.Name
}

// IsFormer reports whether the customer is in no published configuration any more.
func (c *Customer) IsFormer() bool {
	return slices.Contains(c.Keys, reservedKey(formerCustomerKind, c.Name, ""))
}

// Check validates a call. Its error is an *InvalidError.
func (c *Call) Check() error {
	if isReserved(c.Key) {
		return invalid("call has a reserved key")
	}
	return nil
}
