// Package routing holds the published configuration of a deployment: routes,
// services and customers of one version, and the endpoints of the services. It
// contains only values and look-ups; it does no I/O and reads no clock.
package routing
