package lease

import "time"

// KeysInUse holds the keys for which the target may have requests, and the token of
// those requests. The order in which a target reads concurrent requests is not known,
// and a target that reads a lower token after a higher one would act for a former
// owner. Therefore requests for a key are not sent under another token before the
// former ones have ended, or the expiry that they were sent with has passed: by then
// the target has begun them, or refuses them. Only requests under a token of this
// incarnation may begin later, as their grants are extended, but then this incarnation
// has owned the key all the time. A request of any length thus delays the next token
// by less than Duration. KeysInUse is not safe for concurrent use.
type KeysInUse struct {
	keys map[string]keyUse
}

// keyUse is the latest token of a key, the number of requests under it, and the
// latest expiry that they were sent with.
type keyUse struct {
	token    uint64
	requests int
	expires  time.Time
}

// NewKeysInUse returns an empty KeysInUse.
func NewKeysInUse() *KeysInUse {
	return &KeysInUse{keys: map[string]keyUse{}}
}

// Add adds a request for key under claim, and reports whether it may be sent at now. It
// adds nothing and returns false if the target may have yet to begin a request for key
// under another token.
func (k *KeysInUse) Add(now time.Time, key string, claim Claim) bool {
	use := k.keys[key]
	if use.token != claim.Unit.Token {
		if use.requests > 0 && now.Before(use.expires) {
			return false
		}
		use = keyUse{token: claim.Unit.Token}
	}
	use.requests++
	if claim.Until.After(use.expires) {
		use.expires = claim.Until
	}
	k.keys[key] = use
	return true
}

// Remove removes a request for key that was added under claim.
func (k *KeysInUse) Remove(key string, claim Claim) {
	use, ok := k.keys[key]
	if !ok || use.token != claim.Unit.Token {
		return // requests under a later token were sent meanwhile
	}
	use.requests--
	if use.requests == 0 {
		delete(k.keys, key)
		return
	}
	k.keys[key] = use
}
