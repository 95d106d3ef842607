// Package fleet keeps what a box believes about its deployment: the
// configuration in force, the endpoints, and the other boxes. It follows the
// store, exchanges views with peers, and says how old each belief is.
package fleet
