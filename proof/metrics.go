package proof

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"dillsaddle.example/dillsaddle/events"
)

// Metrics are the metrics of a process by name and labels.
type Metrics map[string]float64

// Sum returns the sum of a metric's values over its labels.
func (m Metrics) Sum(name string) float64 {
	sum := 0.0
	for key, value := range m {
		if key == name || strings.HasPrefix(key, name+"{") {
			sum += value
		}
	}
	return sum
}

// Quantile returns the upper bound of the histogram bucket that contains the given
// quantile.
func (m Metrics) Quantile(name string, fraction float64) float64 {
	type bucket struct{ bound, count float64 }
	var all []bucket
	for key, count := range m {
		text, found := strings.CutPrefix(key, name+`_bucket{le="`)
		bound, err := strconv.ParseFloat(strings.TrimSuffix(text, `"}`), 64)
		if found && err == nil {
			all = append(all, bucket{
				bound: bound,
				count: count,
			})
		}
	}
	slices.SortFunc(all, func(a, b bucket) int { return cmp.Compare(a.bound, b.bound) })
	for _, b := range all {
		if b.count >= fraction*all[len(all)-1].count {
			return b.bound
		}
	}
	return 0
}

// Metrics reads the metrics of a box's process.
func (f *Fleet) Metrics(i int, process string) (Metrics, error) {
	address := map[string]netip.AddrPort{
		"entry":     f.boxes[i].Admin,
		"scheduler": f.boxes[i].SchedulerAdmin,
		"watch":     f.boxes[i].WatchAdmin,
	}[process]
	_, body, err := f.get(address, "/metrics")
	if err != nil {
		return nil, err
	}
	m := make(Metrics)
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		name, value, found := splitLast(lines.Text())
		if number, err := strconv.ParseFloat(value, 64); found && err == nil {
			m[name] = number
		}
	}
	return m, lines.Err()
}

// splitLast splits a line at its last space.
func splitLast(line string) (name, value string, found bool) {
	at := strings.LastIndexByte(line, ' ')
	if at < 0 {
		return "", "", false
	}
	return line[:at], line[at+1:], true
}

// DiscardStream reads one stream to its end without decoding its events and returns its
// size in bytes. It uses little CPU, so that measurements show the entry's cost.
func (f *Fleet) DiscardStream(ctx context.Context, boxIndex int) (int64, error) {
	req, resp := &protocol.Request{}, &protocol.Response{}
	req.SetMethod("POST")
	req.SetRequestURI("http://" + f.boxes[boxIndex].Entry.String() + "/v1/completions")
	req.Header.Set("Authorization", "Bearer "+Key)
	req.SetBodyString(fmt.Sprintf(`{"model":%q,"prompt":"a prompt","stream":true}`, Model))
	if err := f.http.Do(ctx, req, resp); err != nil {
		return 0, err
	}
	defer func() { _ = resp.CloseBodyStream() }()
	return io.Copy(io.Discard, resp.BodyStream())
}

// ReadDirect reads one stream directly from an engine.
func (f *Fleet) ReadDirect(ctx context.Context, engine int) (*Stream, error) {
	s := &Stream{startedAt: time.Now()}
	req, resp := &protocol.Request{}, &protocol.Response{}
	req.SetMethod("POST")
	req.SetRequestURI("http://" + f.engines[engine].String() + "/v1/completions")
	req.SetBodyString(fmt.Sprintf(`{"model":%q,"prompt":"a prompt","stream":true,"generation_id":"direct-%d"}`, Model, time.Now().UnixNano()))
	if err := f.http.Do(ctx, req, resp); err != nil {
		return nil, err
	}
	defer func() { _ = resp.CloseBodyStream() }()
	return s, events.Each(ctx, resp, s.event)
}
