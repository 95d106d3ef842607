// Package standin holds small fakes of what the system meets: the platform, a
// model engine and a plain service. They serve demonstrations, tests and
// measurements, keep their own record of what happened, and can be told to
// fail over a control address.
package standin
