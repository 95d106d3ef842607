// Package proof runs whole fleets of real processes on this machine, brings
// about failures, and judges by the stand-ins' own records: tokens made against
// tokens delivered, effects by request, orders and calls counted.
package proof
