// Package watch keeps a box's configuration and list of boxes up to date. It polls
// the platform, validates what it reads, compares versions with a few peers, and
// distributes both to the other processes of the box.
package watch
