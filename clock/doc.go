// Package clock tells when the machine was suspended: its steady clock stands still then,
// so that everything whose age is reckoned by it looks younger than it is.
package clock
