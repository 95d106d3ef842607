package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/engine/completions"
)

var _ = Describe("a call to a service", func() {
	It("removes hop-by-hop headers in both directions", func() {
		seen := make(chan http.Header, 1)
		service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			seen <- q.Header.Clone()
			w.Header().Set("Connection", "X-Answer-Hop")
			w.Header().Set("X-Answer-Hop", "1")
			w.Header().Set("Keep-Alive", "timeout=1")
			w.Header().Set("X-Answer", "1")
			fmt.Fprint(w, "fo")
			w.(http.Flusher).Flush() // forces chunked encoding on the connection to the service
			fmt.Fprint(w, "und")
		}))
		DeferCleanup(service.Close)
		worker, err := completions.New()
		Expect(err).NotTo(HaveOccurred())
		b := startBox(worker, serviceSection(strings.TrimPrefix(service.URL, "http://")))
		q, err := http.NewRequest(http.MethodGet, "http://"+b.Entry.String()+"/v1/services/records/a", nil)
		Expect(err).NotTo(HaveOccurred())
		q.Header.Set("Authorization", "Bearer "+testKey)
		q.Header.Set("Connection", "X-Hop, X-Other-Hop")
		q.Header.Set("X-Hop", "1")
		q.Header.Set("X-Other-Hop", "1")
		q.Header.Set("Proxy-Authorization", "a secret")
		q.Header.Set("TE", "trailers")
		q.Header.Set("X-Kept", "1")
		answer, err := http.DefaultClient.Do(q)
		Expect(err).NotTo(HaveOccurred())
		defer answer.Body.Close()
		Expect(answer.StatusCode).To(Equal(http.StatusOK))
		text, err := io.ReadAll(answer.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(Equal("found"))
		passed := <-seen
		Expect(passed).To(HaveKeyWithValue("X-Kept", ConsistOf("1")))
		for _, name := range []string{"X-Hop", "X-Other-Hop", "Proxy-Authorization", "Te", "Authorization"} {
			Expect(passed).NotTo(HaveKey(name))
		}
		Expect(answer.Header).To(HaveKey("X-Answer"))
		Expect(answer.Header).NotTo(HaveKey("X-Answer-Hop"))
		Expect(answer.Header).NotTo(HaveKey("Keep-Alive"))
	})
})
