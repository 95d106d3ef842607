package core

import (
	"time"
)

// Placed reports that an endpoint was chosen for the next attempt.
type Placed struct {
	EventBase
	Endpoint   string
	Generation string
}

// Sending reports that bytes of the request are about to be sent.
type Sending struct {
	EventBase
	Attempt int
}

// Refused reports that the endpoint refused the attempt without starting it.
type Refused struct {
	EventBase
	Attempt int
}

// FrameArrived reports that a token or the end of a generation arrived.
type FrameArrived struct {
	EventBase
	Attempt int
	Origin  Origin
	Offset  uint64
	Final   bool // the frame is the end of the generation, not a token
}

// LinkLost reports that the connection of an attempt broke or timed out.
type LinkLost struct {
	EventBase
	Attempt int
}

// GenerationGone reports that the endpoint no longer has the generation.
type GenerationGone struct {
	EventBase
	Attempt int
}

// CallerGone reports that the caller cancelled the request or won't return.
type CallerGone struct{ EventBase }

// CallerLeft reports that the caller's connection broke, or that another box or a
// newer connection continues the stream.
type CallerLeft struct{ EventBase }

// CallerSlow reports that the caller didn't read from its stream for too long. It
// may resume the stream as after a broken connection.
type CallerSlow struct{ EventBase }

// SendAttempt asks the shell to send the request to the endpoint.
type SendAttempt struct {
	CommandBase
	Attempt int
	Origin  Origin
}

// ForwardToken asks the shell to forward a frame to the caller.
type ForwardToken struct {
	CommandBase
	Offset uint64
	Origin Origin
}

// DropFrame reports that a frame was not forwarded.
type DropFrame struct {
	CommandBase
	Reason DropReason
}

// Resume asks the shell to read the same generation again from an offset.
type Resume struct {
	CommandBase
	Attempt int
	Origin  Origin
	From    uint64
	Delay   time.Duration
}

// PlaceAgain asks the shell to choose another endpoint for the request.
type PlaceAgain struct {
	CommandBase
	Avoid string
}

// CancelAttempt asks the shell to cancel a generation at its endpoint.
type CancelAttempt struct {
	CommandBase
	Origin Origin
}

// ReleaseStream asks the shell to keep the generation running for a caller that may
// return, and to cancel it after a while if nobody reads it.
type ReleaseStream struct {
	CommandBase
	Origin Origin
}

// EndStream asks the shell to end the stream with the final outcome.
type EndStream struct {
	CommandBase
	Outcome Outcome
	Code    EndCode
}
