// Package fleet maintains a box's cached state of its deployment: the active configuration, the
// endpoint list, and the other boxes. It reads the operators' store, gossips with other boxes,
// and records when the list was last known to be complete.
//
// A few boxes, the readers, watch the store for all (store_watcher.go). A new configuration
// version spreads as follows: the reader merges it into its State and publishes the next View
// (state.go, state_apply.go, view.go), announces the version to its partners (update.go,
// partners.go), and each box fetches it in chunks from a box that has it (state_fetcher.go,
// state_sender.go). Periodic gossip (gossip.go) shows which box is behind. Changes of the
// endpoint list spread in the same way, but a small change is contained in the announcement
// itself (state_endpoints.go).
//
// Boxes also exchange the roster (members.go), and within a group of boxes the prompts that each
// has placed (placements.go), endpoints that leave (evacuation.go), the engines' load
// (load_reports.go, preferred_endpoints.go) and parts of their retry budgets (retry_budget.go).
// Requests that crash endpoints (quarantine.go), parts of prompts at which endpoints crash
// (part_quarantine.go) and rate limits that endpoints report (limits.go) are shared with all boxes.
package fleet
