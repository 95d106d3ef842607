package gateway_test

import (
	"bytes"
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"dillsaddle.example/dillsaddle/eventlog"
	"dillsaddle.example/dillsaddle/fleet"
	"dillsaddle.example/dillsaddle/gateway"
	"dillsaddle.example/dillsaddle/losses"
	"dillsaddle.example/dillsaddle/platform/emulator"
	"dillsaddle.example/dillsaddle/routing"
)

// Guards against log lines that `dillsaddle losses` no longer understands, which no test with
// written lines reveals.
var _ = Describe("the log of requests that wait, as losses reads it", func() {
	var b *waitBed
	var out bytes.Buffer
	var sink *eventlog.Sink
	BeforeEach(func() {
		out.Reset()
		sink = eventlog.NewSink(&out)
		b = newWaitBed(gateway.WithLog(eventlog.New(sink, zap.InfoLevel)))
		b.fill("e-1", 30_000)
	})
	// report reads the log; no more lines may be written to it.
	report := func() losses.Report {
		sink.Close(time.Second)
		r := losses.NewReader()
		Expect(r.Read(bytes.NewReader(out.Bytes()))).To(Succeed())
		result := r.Report()
		Expect(result.Skipped.Count).To(BeZero(), result.Skipped.FirstError)
		return result
	}

	It("has the time and the outcome of each wait", func() {
		sent := b.startWaiting(emulator.StreamPath, "sent")
		ctx, cancel := context.WithCancel(context.Background())
		left := b.start(ctx, emulator.StreamPath, "left")
		b.expectWaiting("sent", "left")
		time.Sleep(100 * time.Millisecond)
		cancel()
		<-left
		b.expectWaiting("sent")
		b.fill("e-1", 0)
		Expect((<-sent).IsComplete).To(BeTrue())
		b.fill("e-1", 30_000)
		revoked := b.startWaiting(emulator.StreamPath, "withdrawn")
		b.publish(3, func(d *emulator.Document) { d.Tenants[0]["apiKeys"] = []string{"another key"} })
		Expect((<-revoked).Status).To(Equal(http.StatusUnauthorized))
		r := report()
		Expect(r.Waits).To(HaveLen(1))
		Expect(r.Waits[0].Route).To(Equal("stream"))
		Expect(r.Waits[0].Requests).To(Equal(3))
		Expect(r.Waits[0].Outcomes).To(Equal(map[string]int{"sent": 1, "left": 1, "withdrawn": 1}))
		Expect(r.Waits[0].Tail).To(BeNumerically(">=", 90*time.Millisecond))
		Expect(r.Refusals).To(HaveLen(1))
		Expect(r.Refusals[0].Status).To(Equal(http.StatusUnauthorized))
		Expect(r.Rows).To(ConsistOf(And(
			HaveField("Moment", losses.WhileWaiting),
			HaveField("Cause", losses.CallerDisconnected),
		)))
	})

	It("tells a late first event after a long wait from one that an engine caused", func() {
		done := b.startWaiting(emulator.ResumePath, "late")
		Expect((<-done).IsComplete).To(BeTrue())
		r := report()
		Expect(r.Waits[0].Outcomes).To(Equal(map[string]int{"limit": 1}))
		Expect(r.Rows).To(ConsistOf(And(
			HaveField("Late", true),
			HaveField("Moment", losses.WhileWaiting),
			HaveField("Cause", losses.LongWait),
		)))
	})

	It("has the estimate of a refusal", func() {
		b.gateway.HandlePlacement(time.Now(), fleet.Placement{
			Endpoint: "e-1",
			Tokens:   1000,
			Priority: routing.Priority{
				Customer: 1,
				Route:    3,
			},
		})
		b.gateway.HandlePlacement(time.Now(), fleet.Placement{Waiting: &fleet.Waiting{
			Request: "r",
			Box:     "other",
			Service: emulator.ModelService,
			Priority: routing.Priority{
				Customer: 1,
				Route:    1,
			},
			DueIn:  time.Second,
			Limit:  30 * time.Second,
			Tokens: 3000,
		}})
		o := <-b.start(context.Background(), emulator.StreamPath, "refused")
		Expect(o.Status).To(Equal(http.StatusServiceUnavailable))
		r := report()
		Expect(r.Refusals).To(HaveLen(1))
		Expect(r.Refusals[0].Estimate).To(BeNumerically("~", 6*time.Second, 500*time.Millisecond))
		Expect(r.Rows).To(ConsistOf(And(
			HaveField("Moment", losses.BeforeSend),
			HaveField("Cause", losses.EstimateTooLong),
		)))
	})
})
