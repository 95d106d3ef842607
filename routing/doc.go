// Package routing holds what is published about a deployment: the routes, the
// services and customers of one configuration version, and the endpoints that
// serve it. It is pure: values and look-ups, no sockets and no clocks.
package routing
