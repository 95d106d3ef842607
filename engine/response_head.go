package engine

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// HeadFault is what is wrong with the head of a response.
type HeadFault string

// The faults.
const (
	BadStatus  HeadFault = "status outside 100 to 599"
	BadUpgrade HeadFault = "change of protocols that was not requested"
	BadInterim HeadFault = "interim response with a body"
	BadField   HeadFault = "field whose name has a character that names can't have"
	BadVersion HeadFault = "version other than HTTP/1"
	BadFraming HeadFault = "transfer encoding in HTTP/1.0"
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
func CheckHead(head *http.Response) error { return headError(findHeadFault(head), head) }

// headError returns the error of a fault, or nil without one.
func headError(fault HeadFault, head *http.Response) error {
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
	case head.ProtoMajor != 1:
		return BadVersion
	case head.StatusCode < minStatus || head.StatusCode > maxStatus:
		return BadStatus
	case IsInterim(head) && namesBody(head):
		return BadInterim
	}
	for name := range head.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return BadField
		}
	}
	if head.StatusCode == http.StatusSwitchingProtocols {
		return BadUpgrade
	}
	return ""
}

// findTextFault returns a fault in the text of a head that net/http doesn't show.
func findTextFault(text []byte, head *http.Response) HeadFault {
	for line := range bytes.Lines(text) {
		if isFieldAfterBlank(line) {
			return BadField
		}
		if name, _, _ := bytes.Cut(line, []byte(":")); !head.ProtoAtLeast(1, 1) && bytes.EqualFold(name, transferEncoding) {
			return BadFraming // net/http ignores it
		}
	}
	return ""
}

var transferEncoding = []byte("Transfer-Encoding")

// isFieldAfterBlank reports whether a line begins with a blank and may be a field. By its blank it continues
// the value of the line before, which would change that field.
func isFieldAfterBlank(line []byte) bool {
	return len(line) > 0 && (line[0] == ' ' || line[0] == '\t') && bytes.IndexByte(line, ':') >= 0
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

// HeadReader is a buffered reader of a connection that reads the heads of responses.
type HeadReader struct {
	*bufio.Reader
	recorder *recorder
}

// NewHeadReader returns a HeadReader with a buffer of a size in bytes.
func NewHeadReader(from io.Reader, size int) *HeadReader {
	r := &recorder{from: from}
	return &HeadReader{
		Reader:   bufio.NewReaderSize(r, size),
		recorder: r,
	}
}

// ReadHead reads the heads of a request's response up to the final one, which it returns. It returns a
// *HeadError if one isn't valid.
func (r *HeadReader) ReadHead(request *http.Request) (*http.Response, error) {
	defer r.recorder.stop()
	for {
		buffered, _ := r.Peek(r.Buffered())
		r.recorder.start(buffered)
		head, err := http.ReadResponse(r.Reader, request)
		if err != nil {
			return nil, err
		}
		if err := CheckHead(head); err != nil {
			return nil, err
		}
		if err := headError(findTextFault(r.recorder.textBefore(r.Buffered()), head), head); err != nil {
			return nil, err
		}
		if !IsInterim(head) {
			return head, nil
		}
	}
}

// recorder keeps the text of a head while it is read.
type recorder struct {
	from        io.Reader
	isRecording bool
	text        []byte
}

// maxKeptTextBytes is the size of the largest buffer that is kept for the next head.
const maxKeptTextBytes = 4 << 10

// Read implements io.Reader.
func (r *recorder) Read(into []byte) (int, error) {
	n, err := r.from.Read(into)
	if r.isRecording {
		r.text = append(r.text, into[:n]...)
	}
	return n, err
}

// start begins the record of a head, of which a part may have been read already.
func (r *recorder) start(buffered []byte) {
	r.isRecording = true
	r.text = append(r.text[:0], buffered...)
}

// textBefore returns what was recorded before the last bytes, of the given number.
func (r *recorder) textBefore(last int) []byte { return r.text[:len(r.text)-last] }

func (r *recorder) stop() {
	r.isRecording = false
	if cap(r.text) > maxKeptTextBytes {
		r.text = nil
	}
}
