package engine

import (
	"bufio"
	"fmt"
	"net/http"
)

// HeadFault is what is wrong with the head of a response.
type HeadFault string

// The faults.
const (
	BadStatus  HeadFault = "status outside 100 to 599"
	BadUpgrade HeadFault = "change of protocols that was not requested"
	BadInterim HeadFault = "interim response with a body"
)

// HeadError reports a response whose head isn't valid in HTTP/1.1. What follows it on its connection
// belongs to no response.
type HeadError struct {
	Fault  HeadFault
	Status int
}

// Error returns a message with the fault.
func (e *HeadError) Error() string {
	return fmt.Sprintf("the response's head (status %03d) isn't valid in HTTP/1.1: %s; check what listens at the endpoint's address", e.Status, e.Fault)
}

// The ranges of statuses.
const (
	minStatus = 100
	maxStatus = 599
)

// CheckHead returns a *HeadError if the head of a response is one that net/http reads although it isn't
// valid.
func CheckHead(head *http.Response) error {
	fault := findHeadFault(head)
	if fault == "" {
		return nil
	}
	return &HeadError{
		Fault:  fault,
		Status: head.StatusCode,
	}
}

func findHeadFault(head *http.Response) HeadFault {
	switch {
	case head.StatusCode < minStatus || head.StatusCode > maxStatus:
		return BadStatus
	case head.StatusCode == http.StatusSwitchingProtocols:
		return BadUpgrade
	case IsInterim(head) && namesBody(head):
		return BadInterim
	}
	return ""
}

// IsInterim reports whether a response precedes the final one.
func IsInterim(head *http.Response) bool { return head.StatusCode < http.StatusOK }

// namesBody reports whether a head says that a body follows. Recipients that take its word and those that
// don't differ on where the next response begins.
func namesBody(head *http.Response) bool {
	if len(head.TransferEncoding) > 0 {
		return true
	}
	length := head.Header.Get("Content-Length")
	return length != "" && length != "0"
}

// ReadHead reads the heads of a request's response up to the final one, which it returns. It returns a
// *HeadError if one isn't valid.
func ReadHead(from *bufio.Reader, request *http.Request) (*http.Response, error) {
	for {
		head, err := http.ReadResponse(from, request)
		if err != nil {
			return nil, err
		}
		if err := CheckHead(head); err != nil {
			return nil, err
		}
		if !IsInterim(head) {
			return head, nil
		}
	}
}
