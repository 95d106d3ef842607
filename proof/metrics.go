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

// Metrics are a process's own metrics.
type Metrics map[string]float64

// Sum adds the values of a metric over its labels.
func (m Metrics) Sum(name string) float64 {
	sum := 0.0
	for key, value := range m {
		if key == name || strings.HasPrefix(key, name+"{") {
			sum += value
		}
	}
	return sum
}

// Quantile gives the upper bound of the bucket in which a part of a histogram's
// values ends.
func (m Metrics) Quantile(name string, part float64) float64 {
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
		if b.count >= part*all[len(all)-1].count {
			return b.bound
		}
	}
	return 0
}

// Metrics reads the metrics of a box's process.
func (f *Fleet) Metrics(i int, part string) (Metrics, error) {
	address := map[string]netip.AddrPort{
		"entry":     f.boxes[i].Admin,
		"scheduler": f.boxes[i].SAdm,
		"watch":     f.boxes[i].WAdm,
	}[part]
	_, body, err := f.get(address, "/metrics")
	if err != nil {
		return nil, err
	}
	m := make(Metrics)
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		name, value, found := cutLast(lines.Text())
		if number, err := strconv.ParseFloat(value, 64); found && err == nil {
			m[name] = number
		}
	}
	return m, lines.Err()
}

func cutLast(line string) (name, value string, found bool) {
	at := strings.LastIndexByte(line, ' ')
	if at < 0 {
		return "", "", false
	}
	return line[:at], line[at+1:], true
}

// DiscardStream reads one stream to its end without looking at its events, and gives
// its bytes; it costs the caller little, so that the entry is what is measured.
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

// ReadDirect reads one stream from an engine, with no part of the system between.
func (f *Fleet) ReadDirect(ctx context.Context, engine int) (*Stream, error) {
	s := &Stream{began: time.Now()}
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
