package gateway

import "dillsaddle.example/dillsaddle/fleet"

// enrol makes a stream known under the endpoint that runs it.
func (g *Gateway) enrol(p *passage) {
	id := p.endpoint.ID
	g.mu.Lock()
	all := g.streams[id]
	if all == nil {
		all = make(map[*passage]bool)
		g.streams[id] = all
	}
	all[p] = true
	leaving := g.evacuations[id]
	g.mu.Unlock()
	if leaving != nil {
		go leaving.gather()
	}
}

func (g *Gateway) leave(endpoint string, p *passage) {
	g.mu.Lock()
	delete(g.streams[endpoint], p)
	if len(g.streams[endpoint]) == 0 {
		delete(g.streams, endpoint)
	}
	leaving := g.evacuations[endpoint]
	g.mu.Unlock()
	if leaving != nil {
		go leaving.over(p)
	}
}

// HandleChange takes a change of belief about endpoints.
func (g *Gateway) HandleChange(c fleet.Change) {
	switch c.Kind {
	case fleet.EndpointLeaving:
		go g.evacuate(c.Endpoint)
	case fleet.EndpointRemoved:
		go g.evacuate(c.Endpoint)
		g.spread.Forget(c.Endpoint.ID)
	case fleet.EndpointRestarted:
		g.spread.Forget(c.Endpoint.ID)
	}
}
