// Package entry implements the process of a box that serves callers. It authenticates
// customers, admits and places their requests, streams, resumes and cancels generations,
// forwards calls to services, and refuses requests with the time of the next retry.
package entry
