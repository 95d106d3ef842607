// Package config holds the published configuration: its sections, defaults,
// parse and checks.
//
// One document is one version. A document is read as standard JSON; every
// fault is reported with its line, what is wrong and the remedy. The platform's
// configuration service is the only source (see docs/CONFIGURATION.md).
package config
