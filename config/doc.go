// Package config defines the published configuration: its sections, defaults,
// parser and checks.
//
// Each document has its own version and is standard JSON. Faults are reported with
// their line, the problem and a remedy. The platform's configuration service is the
// only source of documents (see docs/CONFIGURATION.md).
package config
