package core

import (
	"time"
)

// Placed tells that an endpoint was chosen for the next attempt.
type Placed struct {
	EventBase
	Endpoint   string
	Generation string
}

// Sending tells that the next write may let bytes of the request out.
type Sending struct {
	EventBase
	Attempt int
}

// Refused tells that the endpoint refused the attempt before starting it.
type Refused struct {
	EventBase
	Attempt int
}

// FrameArrived tells that a token or the end of a generation arrived.
type FrameArrived struct {
	EventBase
	Attempt int
	Origin  Origin
	Offset  uint64
	Final   bool
}

// LinkLost tells that an attempt's link broke or made no progress in time.
type LinkLost struct {
	EventBase
	Attempt int
}

// GenerationGone tells that the endpoint no longer knows the generation.
type GenerationGone struct {
	EventBase
	Attempt int
}

// CallerGone tells that the caller cancelled or left for good.
type CallerGone struct{ EventBase }

// CallerLeft tells that the caller's link is lost or that another box, or a
// newer link, continues the stream.
type CallerLeft struct{ EventBase }

// CallerSlow tells that the caller took nothing of its stream for too long; it
// may continue the stream as one whose link was lost.
type CallerSlow struct{ EventBase }

// SendAttempt asks the shell to send the request to the endpoint.
type SendAttempt struct {
	CommandBase
	Attempt int
	Origin  Origin
}

// ForwardToken asks the shell to hand the frame to the caller.
type ForwardToken struct {
	CommandBase
	Offset uint64
	Origin Origin
}

// DropFrame tells that a frame is not for the caller.
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

// PlaceAgain asks the shell to have the request placed once more.
type PlaceAgain struct {
	CommandBase
	Avoid string
}

// CancelAttempt asks the shell to cancel a generation at its endpoint.
type CancelAttempt struct {
	CommandBase
	Origin Origin
}

// ReleaseStream asks the shell to leave the generation to a caller that may come
// back, and to cancel it after a while if nobody reads it.
type ReleaseStream struct {
	CommandBase
	Origin Origin
}

// EndStream asks the shell to give the caller the final answer.
type EndStream struct {
	CommandBase
	Outcome Outcome
	Code    EndCode
}
