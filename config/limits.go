package config

import "time"

// Limits bounds what a caller may use, and holds the timeouts of requests and claims.
type Limits struct {
	BodyBytes         int           // maximum size of a request body
	SlowCallerTimeout time.Duration // maximum time for which a caller reads nothing of its answer
	ProgressTimeout   time.Duration // maximum time between two messages of an endpoint
	ResumeWindow      time.Duration // how long a broken stream can be resumed
	MaxWait           time.Duration // maximum wait in a box's queue, and then for the first message of an endpoint
	ClaimGuard        time.Duration // how long after a loss of claim records an unknown key may have run before
}

func defaultLimits() Limits {
	return Limits{
		BodyBytes:         1 << 20,
		SlowCallerTimeout: 10 * time.Second,
		ProgressTimeout:   5 * time.Second,
		ResumeWindow:      10 * time.Second,
		MaxWait:           30 * time.Second,
		ClaimGuard:        10 * time.Minute,
	}
}

func parseLimits(o *jsonObject, l *Limits) {
	o.readInt("body_bytes", &l.BodyBytes, 1024, 16<<20)
	o.readDuration("slow_caller", &l.SlowCallerTimeout, 100*time.Millisecond, 10*time.Minute)
	o.readDuration("progress", &l.ProgressTimeout, 100*time.Millisecond, 10*time.Minute)
	o.readDuration("resume_window", &l.ResumeWindow, 100*time.Millisecond, 10*time.Minute)
	o.readDuration("max_wait", &l.MaxWait, 10*time.Millisecond, time.Hour)
	o.readDuration("claim_guard", &l.ClaimGuard, 150*time.Second, 24*time.Hour)
}
