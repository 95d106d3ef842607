package entry_test

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/core"
	"dillsaddle.example/dillsaddle/engine"
	"dillsaddle.example/dillsaddle/entry"
	"dillsaddle.example/dillsaddle/scheduler"
	"dillsaddle.example/dillsaddle/settings"
	"dillsaddle.example/dillsaddle/standin"
	"dillsaddle.example/dillsaddle/watch"
)

const (
	testKey   = "test-key"
	modelName = "model-1"
)

func freeAddress() netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

func testBox(platform netip.AddrPort) *settings.Box {
	return &settings.Box{
		Name:          "box-1",
		Zone:          "zone-1",
		Entry:         freeAddress(),
		Scheduler:     freeAddress(),
		Watch:         freeAddress(),
		Platform:      platform,
		Secret:        "the secret of a test's fleet",
		DrainTimeout:  time.Minute,
		LeaseInterval: 100 * time.Millisecond,
	}
}

// serviceSection returns the configuration section of a service at an address.
func serviceSection(address string) string {
	return fmt.Sprintf(`,"services":[{"name":"records","addresses":[%q]}]`, address)
}

func testConfig(engines []netip.AddrPort, sections string) []byte {
	var endpoints []string
	for i, address := range engines {
		endpoints = append(endpoints, fmt.Sprintf(`{"name":%q,"address":%q,"zone":"zone-1","models":[%q],"memory_tokens":20000}`, engineName(i), address, modelName))
	}
	return fmt.Appendf(nil, `{"version":1,
		"customers":[{"name":"customer-1","tier":"tier-1","key_sha256":["%x"]}],
		"tiers":[{"name":"tier-1","rank":0,"policy":"policy-1"}],
		"policies":[{"name":"policy-1","decide":"request.fits ? 'run' : 'wait'"}],
		"models":[{"name":%q}],
		"endpoints":[%s]%s}`,
		sha256.Sum256([]byte(testKey)), modelName, strings.Join(endpoints, ","), sections)
}

func engineName(i int) string { return fmt.Sprintf("engine-%d", i+1) }

// startEngine starts an emulated engine and returns a function that stops it.
func startEngine(name string, address netip.AddrPort) (stop func()) {
	served := standin.NewEngine(standin.EngineRules{
		Name:   name,
		Models: []string{modelName},
		Batch:  standin.DefaultBatchRules(),
		OutputLength: standin.LengthDistribution{
			Median:    20,
			Sigma:     0.1,
			MaxLength: 100,
		},
	}).HTTPServer(address)
	go served.Spin()
	return func() { _ = served.Close() }
}

// startBox starts all processes of a box in the test process, with one engine and the
// given worker.
func startBox(worker engine.Worker, sections ...string) *settings.Box {
	engineAt := freeAddress()
	startEngine(engineName(0), engineAt)
	return startBoxWithEngines([]netip.AddrPort{engineAt}, worker, sections...)
}

// startBoxWithEngines starts all processes of a box with endpoints at the given addresses.
func startBoxWithEngines(engines []netip.AddrPort, worker engine.Worker, sections ...string) *settings.Box {
	platformAt := freeAddress()
	b := testBox(platformAt)
	var statuses []core.EndpointStatus
	for i := range engines {
		statuses = append(statuses, core.EndpointStatus{Name: engineName(i)})
	}
	list, err := json.Marshal(core.List{
		Version: 1,
		Boxes: []core.Member{{
			Name:      b.Name,
			Zone:      b.Zone,
			Entry:     b.Entry,
			Scheduler: b.Scheduler,
			Watch:     b.Watch,
		}},
		Endpoints: statuses,
	})
	Expect(err).NotTo(HaveOccurred())
	platform, err := standin.NewPlatform(testConfig(engines, strings.Join(sections, "")), list)
	Expect(err).NotTo(HaveOccurred())
	go platform.HTTPServer(platformAt).Spin()
	log := zap.NewNop()
	_, err = watch.Start(b, log)
	Expect(err).NotTo(HaveOccurred())
	_, err = scheduler.Start(b, log, worker, nil)
	Expect(err).NotTo(HaveOccurred())
	e, err := entry.Start(b, log, worker, nil)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(e.Close)
	Eventually(e.Ready, "30s", "20ms").Should(BeEmpty())
	return b
}

func post(b *settings.Box, prompt string) (int, http.Header, string) {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"stream":true}`, modelName, prompt)
	q, err := http.NewRequest(http.MethodPost, "http://"+b.Entry.String()+"/v1/completions", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	q.Header.Set("Authorization", "Bearer "+testKey)
	answer, err := http.DefaultClient.Do(q)
	Expect(err).NotTo(HaveOccurred())
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	Expect(err).NotTo(HaveOccurred())
	return answer.StatusCode, answer.Header, string(text)
}
