package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// Customer is one paying customer with its keys, tier, class and limits.
type Customer struct {
	Name        string
	Tier        string
	Class       string
	KeySHA256   []string
	Weight      float64 // share of the service relative to other customers
	MaxStreams  int     // open at the same time on one box
	MaxWaiting  int     // queued requests on one box
	TokenRate   float64 // tokens per second; 0 for no limit
	RetryBudget float64 // retries as a fraction of the first attempts
	line        int
}

func parseCustomer(o *jsonObject) Customer {
	c := Customer{
		Class:       "standard",
		Weight:      1,
		MaxStreams:  256,
		MaxWaiting:  512,
		RetryBudget: 0.1,
		line:        o.r.line(o.offset),
	}
	o.readName(&c.Name)
	o.readString("tier", &c.Tier)
	o.readString("class", &c.Class)
	offset := o.offset
	o.readStrings("key_sha256", &c.KeySHA256)
	o.real("weight", &c.Weight, 0.01, 1000)
	o.readInt("max_streams", &c.MaxStreams, 1, 1000000)
	o.readInt("max_waiting", &c.MaxWaiting, 0, 1000000)
	o.real("tokens_per_second", &c.TokenRate, 0, 1e9)
	o.real("retry_budget", &c.RetryBudget, 0, 1)
	if len(c.KeySHA256) == 0 {
		o.r.addFault(offset, "customer "+c.Name+" has no key", `add "key_sha256" with the SHA-256 of each key, in hex`)
	}
	for _, key := range c.KeySHA256 {
		if digest, err := hex.DecodeString(key); err != nil || len(digest) != sha256.Size {
			o.r.addFault(offset, "customer "+c.Name+" has a key_sha256 that is not a SHA-256 digest", "write 64 hex digits: printf KEY | sha256sum")
		}
	}
	return c
}

// KeyMatches reports whether a key is this customer's, in constant time.
func (c *Customer) KeyMatches(key string) bool {
	sum := sha256.Sum256([]byte(key))
	hexDigest := []byte(hex.EncodeToString(sum[:]))
	match := 0
	for _, known := range c.KeySHA256 {
		match |= subtle.ConstantTimeCompare(hexDigest, []byte(known))
	}
	return match == 1
}

// Authenticate returns the customer to whom a key belongs, or nil. It compares the
// key with every customer's, so that its duration doesn't depend on the key.
func (d *Document) Authenticate(key string) *Customer {
	var match *Customer
	for i := range d.Customers {
		if d.Customers[i].KeyMatches(key) {
			match = &d.Customers[i]
		}
	}
	return match
}
