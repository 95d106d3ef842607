package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"dillsaddle.example/dillsaddle/standin"
)

// callTimeout bounds each short call that a scenario makes.
const callTimeout = 10 * time.Second

func (f *Fleet) get(address netip.AddrPort, path string) (int, []byte, error) {
	return f.call("GET", address, path, nil, nil)
}

func (f *Fleet) call(method string, address netip.AddrPort, path string, headers map[string]string, body []byte) (int, []byte, error) {
	status, _, text, err := f.exchange(method, address, path, headers, body)
	return status, text, err
}

// exchange sends a request and returns the status, headers and body of the response.
func (f *Fleet) exchange(method string, address netip.AddrPort, path string, headers map[string]string, body []byte) (int, map[string]string, []byte, error) {
	req, resp := &protocol.Request{}, &protocol.Response{}
	req.SetMethod(method)
	req.SetRequestURI("http://" + address.String() + path)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	req.SetBody(body)
	req.SetConnectionClose()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := f.http.DoTimeout(ctx, req, resp, callTimeout); err != nil {
		return 0, nil, nil, err
	}
	respHeaders := make(map[string]string)
	resp.Header.VisitAll(func(name, value []byte) { respHeaders[string(name)] = string(value) })
	return resp.StatusCode(), respHeaders, bytes.Clone(resp.Body()), nil
}

// SetFaults sets the faults of a fake, in place of those set before.
func (f *Fleet) SetFaults(name string, faults standin.Faults) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	_, _, err = f.call("POST", f.address(name), "/control/fault", nil, body)
	return err
}

// address returns the address of a fake, given by its name.
func (f *Fleet) address(name string) netip.AddrPort {
	switch name {
	case "platform":
		return f.platform
	case "service":
		return f.service
	}
	var n int
	if _, err := fmt.Sscanf(name, "service-%d", &n); err == nil {
		return f.servers[n-1]
	}
	if _, err := fmt.Sscanf(name, "platform-%d", &n); err == nil {
		return f.boxes[n-1].Platform
	}
	_, _ = fmt.Sscanf(name, "engine-%d", &n)
	return f.engines[n-1]
}

// EngineRecord returns the record that an engine keeps of its work.
func (f *Fleet) EngineRecord(i int) (standin.Record, error) {
	var r standin.Record
	_, body, err := f.get(f.engines[i], "/control/record")
	if err != nil {
		return r, err
	}
	return r, json.Unmarshal(body, &r)
}

// ServerRecords returns the records that the service's servers keep of their work.
func (f *Fleet) ServerRecords() ([]standin.ServiceRecord, error) {
	all := make([]standin.ServiceRecord, len(f.servers))
	for i, address := range f.servers {
		_, body, err := f.get(address, "/control/record")
		if err == nil {
			err = json.Unmarshal(body, &all[i])
		}
		if err != nil {
			return nil, err
		}
	}
	return all, nil
}

// ServiceEffects counts the effects by request on all servers of the service.
func (f *Fleet) ServiceEffects() (map[string]int, error) {
	records, err := f.ServerRecords()
	effects := make(map[string]int)
	for _, r := range records {
		for request, n := range r.Effects {
			effects[request] += n
		}
	}
	return effects, err
}

// PlatformCalls returns how many calls the platform has received.
func (f *Fleet) PlatformCalls() (int, error) {
	var calls struct {
		Calls int `json:"calls"`
	}
	_, body, err := f.get(f.platform, "/control/calls")
	if err != nil {
		return 0, err
	}
	return calls.Calls, json.Unmarshal(body, &calls)
}
