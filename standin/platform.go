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

// Platform is a stand-in of the configuration service and of the list of live
// and leaving boxes and endpoints. It only answers reads; what it holds is
// changed over its control paths.
type Platform struct {
	faults  *faultBox
	began   time.Time
	mu      sync.Mutex
	changed chan struct{}
	configs []versioned
	lists   []versioned
	stale   [2]int // what is shown while stale
	calls   int
}

// The two kinds of value that the platform publishes.
const (
	kindConfig = iota
	kindList
)

type versioned struct {
	version uint64
	body    []byte
}

// NewPlatform starts with a configuration and a list.
func NewPlatform(config, list []byte) (*Platform, error) {
	p := &Platform{
		faults:  newFaultBox(),
		began:   time.Now(),
		changed: make(chan struct{}),
	}
	if err := p.publish(&p.configs, config); err != nil {
		return nil, err
	}
	return p, p.publish(&p.lists, list)
}

func (p *Platform) publish(into *[]versioned, body []byte) error {
	var head struct {
		Version uint64 `json:"version"`
	}
	// A faulty document is published all the same: the readers must cope.
	_ = json.Unmarshal(body, &head)
	p.mu.Lock()
	defer p.mu.Unlock()
	*into = append(*into, versioned{
		version: head.Version,
		body:    body,
	})
	close(p.changed)
	p.changed = make(chan struct{})
	return nil
}

// HTTPServer builds the platform's HTTP server.
func (p *Platform) HTTPServer(address netip.AddrPort) *server.Hertz {
	h := newServer(address)
	h.GET("/v1/config", p.watch(kindConfig))
	h.GET("/v1/list", p.watch(kindList))
	h.POST("/control/config", p.control(&p.configs))
	h.POST("/control/list", p.control(&p.lists))
	h.GET("/control/calls", p.showCalls)
	p.faults.register(h)
	return h
}

func (p *Platform) control(into *[]versioned) app.HandlerFunc {
	return func(_ context.Context, c *app.RequestContext) {
		body := append([]byte(nil), c.Request.Body()...)
		if err := p.publish(into, body); err != nil {
			c.String(http.StatusBadRequest, "%v", err)
			return
		}
		c.String(http.StatusOK, "published")
	}
}

func (p *Platform) showCalls(_ context.Context, c *app.RequestContext) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.JSON(http.StatusOK, map[string]int{"calls": p.calls})
}

// watch answers with the first value after a version, or waits for one. A list
// comes one version at a time, so that a watcher misses none; of the
// configuration only the newest counts.
func (p *Platform) watch(kind int) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		p.countCall()
		if p.faults.get().Down {
			c.String(http.StatusServiceUnavailable, "down")
			return
		}
		p.faults.hold(ctx.Done())
		after, _ := strconv.ParseUint(c.Query("after"), 10, 64)
		wait, _ := time.ParseDuration(c.Query("wait"))
		timeout := time.After(wait)
		for {
			found, changed := p.next(kind, after)
			if found != nil {
				p.give(c, *found, kind)
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

func (p *Platform) next(kind int, after uint64) (*versioned, <-chan struct{}) {
	f := p.faults.get()
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.configs
	if kind == kindList {
		all = p.lists
	}
	if !f.Stale {
		p.stale[kind] = len(all)
	}
	shown := all[:max(0, min(len(all), p.stale[kind])-f.StaleBy)]
	for i := range shown {
		wanted := kind == kindList || i == len(shown)-1
		if shown[i].version > after && wanted {
			return &shown[i], p.changed
		}
	}
	return nil, p.changed
}

func (p *Platform) give(c *app.RequestContext, v versioned, kind int) {
	c.Response.Header.Set("Platform-Version", strconv.FormatUint(v.version, 10))
	body := v.body
	if kind == kindList {
		var l core.List
		if err := json.Unmarshal(body, &l); err == nil {
			l.Age = time.Since(p.began)
			body, _ = json.Marshal(l)
		}
	}
	if strings.Contains(string(c.GetHeader("Accept-Encoding")), "gzip") {
		body = compress.AppendGzipBytes(nil, body)
		c.Response.Header.Set("Content-Encoding", "gzip")
	}
	c.Data(http.StatusOK, "application/json", body)
}
