package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/compress"

	"dillsaddle.example/dillsaddle/core"
)

// Platform is a fake of the configuration service and of the list of boxes and endpoints. Its
// documents are published over control endpoints.
type Platform struct {
	faults     *faultState
	startedAt  time.Time
	mu         sync.Mutex
	changed    chan struct{}
	configs    []document
	lists      []document
	staleCount [2]int // documents of each kind shown while stale
	calls      int
}

// The kinds of document that the platform publishes.
const (
	kindConfig = iota
	kindList
)

type document struct {
	version uint64
	body    []byte
}

// NewPlatform returns a platform with an initial configuration and list.
func NewPlatform(config, list []byte) (*Platform, error) {
	p := &Platform{
		faults:    newFaultState(),
		startedAt: time.Now(),
		changed:   make(chan struct{}),
	}
	if err := p.publish(&p.configs, config); err != nil {
		return nil, err
	}
	return p, p.publish(&p.lists, list)
}

func (p *Platform) publish(into *[]document, body []byte) error {
	var head struct {
		Version uint64 `json:"version"`
	}
	// An invalid document is published too, as a test of the readers.
	_ = json.Unmarshal(body, &head)
	p.mu.Lock()
	defer p.mu.Unlock()
	*into = append(*into, document{
		version: head.Version,
		body:    body,
	})
	close(p.changed)
	p.changed = make(chan struct{})
	return nil
}

// HTTPServer returns the platform's HTTP server, not yet started.
func (p *Platform) HTTPServer(address netip.AddrPort) *server.Hertz {
	h := newServer(address)
	h.GET("/v1/config", p.handleWatch(kindConfig))
	h.GET("/v1/list", p.handleWatch(kindList))
	h.POST("/control/config", p.handlePublish(&p.configs))
	h.POST("/control/list", p.handlePublish(&p.lists))
	h.GET("/control/calls", p.handleCalls)
	p.faults.register(h)
	return h
}

func (p *Platform) handlePublish(into *[]document) app.HandlerFunc {
	return func(_ context.Context, c *app.RequestContext) {
		body := append([]byte(nil), c.Request.Body()...)
		if err := p.publish(into, body); err != nil {
			c.String(http.StatusBadRequest, "%v", err)
			return
		}
		c.String(http.StatusOK, "published")
	}
}

func (p *Platform) handleCalls(_ context.Context, c *app.RequestContext) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.JSON(http.StatusOK, map[string]int{"calls": p.calls})
}

// handleWatch answers with a document newer than the requested version, or waits for one. Lists
// are served one version at a time, so that a watcher sees all; of the configurations only the
// newest is served.
func (p *Platform) handleWatch(kind int) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		p.countCall()
		if p.faults.get().Down {
			c.String(http.StatusServiceUnavailable, "down")
			return
		}
		p.faults.waitForFaults(ctx.Done())
		after, _ := strconv.ParseUint(c.Query("after"), 10, 64)
		wait, _ := time.ParseDuration(c.Query("wait"))
		timeout := time.After(wait)
		for {
			found, changed := p.nextDocument(kind, after)
			if found != nil {
				p.writeDocument(c, *found, kind)
				return
			}
			select {
			case <-changed:
			case <-timeout:
				c.SetStatusCode(http.StatusNotModified)
				return
			case <-ctx.Done():
				return
			}
			if p.faults.get().Down {
				c.String(http.StatusServiceUnavailable, "down")
				return
			}
		}
	}
}

func (p *Platform) countCall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
}

func (p *Platform) nextDocument(kind int, after uint64) (*document, <-chan struct{}) {
	f := p.faults.get()
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.configs
	if kind == kindList {
		all = p.lists
	}
	if !f.Stale {
		p.staleCount[kind] = len(all)
	}
	shown := all[:max(0, min(len(all), p.staleCount[kind])-f.StaleBy)]
	for i := range shown {
		wanted := kind == kindList || i == len(shown)-1
		if shown[i].version > after && wanted {
			return &shown[i], p.changed
		}
	}
	return nil, p.changed
}

func (p *Platform) writeDocument(c *app.RequestContext, v document, kind int) {
	c.Response.Header.Set("Platform-Version", strconv.FormatUint(v.version, 10))
	body := v.body
	if kind == kindList {
		var l core.List
		if err := json.Unmarshal(body, &l); err == nil {
			l.Age = time.Since(p.startedAt)
			body, _ = json.Marshal(l)
		}
	}
	if strings.Contains(string(c.GetHeader("Accept-Encoding")), "gzip") {
		body = compress.AppendGzipBytes(nil, body)
		c.Response.Header.Set("Content-Encoding", "gzip")
	}
	c.Data(http.StatusOK, "application/json", body)
}
