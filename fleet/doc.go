// Package fleet keeps what a box believes about its deployment: the
// configuration in force, the endpoints, and the other boxes. It follows the
// store, exchanges views with peers, and says how old each belief is.
//
// The way of a configuration's newest version: a reader's watch of the store brings it
// (follower.go; who reads: news.go), the belief takes it and makes the next view
// (belief_apply.go, belief.go, view.go), the news of it go to all partners (news.go, whom:
// partners.go), a box that hears of it asks for it (pull.go) and is given it in parts
// (give.go); greetings show who is behind (greeting.go). The list of endpoints travels the
// same way, but its changes go along with the news (belief_list.go).
//
// Beside that: the other boxes (members.go), what is told within a group of what each box
// places (placements.go), of engines that leave (evacuation.go), of their load
// (reports.go, share.go), and sends of the retry budget that are lent (lend.go). Requests
// under which endpoints end are told to all boxes (quarantine.go).
package fleet
