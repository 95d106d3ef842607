package proof

import "net/netip"

// Entry returns the callers' address of a box.
func (f *Fleet) Entry(i int) netip.AddrPort { return f.boxes[i].Entry }

// Admin returns the operators' address of a box's entry.
func (f *Fleet) Admin(i int) netip.AddrPort { return f.boxes[i].Admin }

// EngineAddress returns the address of an engine.
func (f *Fleet) EngineAddress(i int) netip.AddrPort { return f.engines[i] }

// Exchange sends a request and returns the status, headers and body of the response.
func (f *Fleet) Exchange(method string, address netip.AddrPort, path string, headers map[string]string, body []byte) (int, map[string]string, []byte, error) {
	return f.exchange(method, address, path, headers, body)
}
