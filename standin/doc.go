// Package standin holds small fakes of the external systems: the configuration platform, a
// model engine and a plain service. They serve demonstrations, tests and benchmarks, record
// what they ran, and inject faults that are set over a control endpoint.
package standin
