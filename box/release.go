package box

import (
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
)

// ReleasePath is the path at which operators end a quarantine at all boxes, by POST. The query names
// a request by its content, or a part of prompts by its service and ID.
const ReleasePath = "/quarantine/release"

// Query parameters of ReleasePath.
const (
	ReleaseContent = "content"
	ReleaseService = "service"
	ReleasePart    = "part"
)

// serveRelease ends the quarantine of a request or of a part of prompts at all boxes.
func (b *Box) serveRelease(w http.ResponseWriter, r *http.Request) {
	query, now := r.URL.Query(), time.Now()
	released, what := false, ""
	switch {
	case query.Has(ReleaseContent):
		content, ok := core.ParseDigest(query.Get(ReleaseContent))
		if !ok {
			http.Error(w, "the content isn't a digest; use one listed by dillsaddle status", http.StatusBadRequest)
			return
		}
		what = content.String()
		released = b.quarantine.Release(now, content)
	case query.Has(ReleasePart) && query.Has(ReleaseService):
		part := core.PromptPart{
			Service: query.Get(ReleaseService),
			ID:      core.NewPartID(query.Get(ReleasePart)),
		}
		what = part.String()
		released = b.partQuarantine.Release(now, part)
	default:
		http.Error(w, "name a content, or a service and a part", http.StatusBadRequest)
		return
	}
	b.log.Info("operator asked to end a quarantine", zap.String("of", what), zap.Bool("released", released), zap.String("by", r.RemoteAddr))
	if !released {
		http.Error(w, what+" is not quarantined at this box; see dillsaddle status", http.StatusNotFound)
		return
	}
	fmt.Fprintln(w, what+" is sent to endpoints again")
}
