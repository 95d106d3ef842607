package box_test

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/box"
	"dillsaddle.example/dillsaddle/commands"
	"dillsaddle.example/dillsaddle/eventlog"
	"dillsaddle.example/dillsaddle/platform"
	"dillsaddle.example/dillsaddle/platform/emulator"
)

// waitTimeout bounds waits for events that usually happen within milliseconds.
const waitTimeout = 20 * time.Second

// testBox is a box that runs in the test's process, with its addresses and a client.
type testBox struct {
	*box.Box
	settings   emulator.BoxSettings
	caller     *emulator.Caller
	paths      *emulator.Paths // to all endpoints
	statusAddr string
}

// startBoxes starts n boxes that have the first one as seed.
func startBoxes(d *emulator.Deployment, n int) []*testBox {
	return startBoxesWithSeed(d, "", n)
}

// startReadyBoxes starts n boxes, waits until they are ready, and stops them after the test.
func startReadyBoxes(d *emulator.Deployment, n int) []*testBox {
	boxes := startBoxes(d, n)
	for _, b := range boxes {
		Expect(emulator.WaitReady(b.settings.Ready, waitTimeout)).To(Succeed())
		DeferCleanup(b.Stop)
	}
	return boxes
}

// newDeployment starts a store, and closes it and its servers after the test.
func newDeployment() *emulator.Deployment {
	d, err := emulator.NewDeployment()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(d.Close)
	return d
}

// addServer starts a server of a service and lists it in the store.
func addServer(d *emulator.Deployment, id, service string) *emulator.Server {
	s, err := d.Add(id, service)
	Expect(err).NotTo(HaveOccurred())
	return s
}

// startBoxesWithSeed starts n boxes with the given seed, or with the first of them if empty.
func startBoxesWithSeed(d *emulator.Deployment, seed string, n int) []*testBox {
	addresses, err := emulator.FreeAddresses(4 * n)
	Expect(err).NotTo(HaveOccurred())
	var all []*testBox
	for i := range n {
		own := addresses[4*i : 4*i+4]
		settings := emulator.BoxSettings{
			Name:         "box-" + strings.ReplaceAll(seed, ":", "-") + strconv.Itoa(i),
			Front:        own[0],
			Ready:        own[1],
			Peer:         own[2],
			Store:        d.StoreAddr,
			Seeds:        []string{cmp.Or(seed, addresses[2])},
			GraceSeconds: 5,
		}
		path, err := settings.Write(GinkgoT().TempDir())
		Expect(err).NotTo(HaveOccurred())
		s, err := platform.LoadSettings(path)
		Expect(err).NotTo(HaveOccurred())
		sink := eventlog.NewSink(io.Discard)
		paths := emulator.NewPaths()
		b, err := box.Start(&box.Options{
			Settings:    path,
			MetricsPort: int(netip.MustParseAddrPort(own[3]).Port()),
		}, s, eventlog.New(sink, zap.InfoLevel), sink, box.WithEndpointDial(paths.Dial))
		Expect(err).NotTo(HaveOccurred())
		all = append(all, &testBox{
			Box:        b,
			settings:   settings,
			caller:     emulator.NewCaller(own[0], emulator.Key),
			paths:      paths,
			statusAddr: own[3],
		})
	}
	return all
}

func (s *testBox) call(id string) emulator.Outcome {
	return s.caller.Do(context.Background(), emulator.Call{
		ID:       id,
		Method:   http.MethodPost,
		Path:     emulator.CallPath,
		Deadline: 1500 * time.Millisecond,
	})
}

func (s *testBox) get(path string) string {
	answer, err := http.Get("http://" + s.statusAddr + path)
	Expect(err).NotTo(HaveOccurred())
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

var _ = Describe("a box", func() {
	var d *emulator.Deployment
	BeforeEach(func() {
		var err error
		d, err = emulator.NewDeployment()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(d.Close)
		_, err = d.Add("i-1", emulator.PlainService)
		Expect(err).NotTo(HaveOccurred())
	})

	It("serves requests, status and metrics when ready, and shuts down when stopped", func() {
		b := startBoxes(d, 1)[0]
		Expect(emulator.WaitReady(b.settings.Ready, waitTimeout)).To(Succeed())
		o := b.call("a1")
		Expect(o.Status).To(Equal(http.StatusOK))
		Expect(o.Fault).To(BeEmpty())
		var status box.Status
		Expect(json.Unmarshal([]byte(b.get("/status")), &status)).To(Succeed())
		Expect(status.Ready).To(BeTrue())
		var shown bytes.Buffer
		Expect(commands.Run([]string{"status", b.statusAddr}, &shown)).To(BeZero())
		Expect(shown.String()).To(ContainSubstring("box-0 in zone-a"))
		Expect(status.ConfigVersion).To(BeEquivalentTo(1))
		Expect(b.get("/metrics")).To(ContainSubstring(`dillsaddle_requests_total{route="call"`))
		b.Stop()
		b.Stop()
		answer, err := http.Get("http://" + b.settings.Ready + "/ready")
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Eventually(b.Done()).WithTimeout(waitTimeout).Should(BeClosed())
	})

	It("isn't ready and answers 503 until it has a configuration", func() {
		d.Store.SetFault(emulator.StoreUnavailable, 0)
		b := startBoxes(d, 1)[0]
		o := b.call("b1")
		Expect(o.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(o.RetryAfter).NotTo(BeEmpty())
		d.Store.SetFault(emulator.StoreNoFault, 0)
		Expect(emulator.WaitReady(b.settings.Ready, waitTimeout)).To(Succeed())
		b.Stop()
	})

	It("applies the removal of a customer's key on every box", func() {
		boxes := startBoxes(d, 2)
		for _, b := range boxes {
			Expect(emulator.WaitReady(b.settings.Ready, waitTimeout)).To(Succeed())
			Expect(b.call("c" + b.settings.Name).Status).To(Equal(http.StatusOK))
		}
		document := emulator.NewDocument(4)
		document.Tenants = document.Tenants[1:]
		d.Publish(document)
		for i, b := range boxes {
			Eventually(func() int { return b.call(fmt.Sprintf("d%d-%d", i, time.Now().UnixNano())).Status }).
				WithTimeout(waitTimeout).Should(Equal(http.StatusUnauthorized))
			b.Stop()
		}
	})
})
