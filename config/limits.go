package config

import "time"

// Limits bounds what one caller may take from a box, and the guard times.
type Limits struct {
	BodyBytes         int
	SlowCallerTimeout time.Duration
	ProgressTimeout   time.Duration
	ResumeWindow      time.Duration
	MaxWait           time.Duration
	ClaimGuard        time.Duration
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

func parseLimits(o *object, l *Limits) {
	o.whole("body_bytes", &l.BodyBytes, 1024, 16<<20)
	o.duration("slow_caller", &l.SlowCallerTimeout, 100*time.Millisecond, 10*time.Minute)
	o.duration("progress", &l.ProgressTimeout, 100*time.Millisecond, 10*time.Minute)
	o.duration("resume_window", &l.ResumeWindow, 100*time.Millisecond, 10*time.Minute)
	o.duration("max_wait", &l.MaxWait, 10*time.Millisecond, time.Hour)
	o.duration("claim_guard", &l.ClaimGuard, 150*time.Second, 24*time.Hour)
}
