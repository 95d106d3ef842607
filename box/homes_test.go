package box_test

import (
	"fmt"
	"net/http"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/platform/emulator"
)

// A request whose route or customer has homes may reach no server of another region:
// records may not leave it. All deployments so far have one region, and the boxes passed
// over the fields.
var _ = Describe("a request with homes", func() {
	var d *emulator.Deployment
	servers := make(map[string]*emulator.Server) // by region
	BeforeEach(func() {
		var err error
		d, err = emulator.NewDeployment()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(d.Close)
		for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
			s, err := d.AddIn(zone, fmt.Sprintf("i-%d", i), emulator.PlainService)
			Expect(err).NotTo(HaveOccurred())
			servers[fmt.Sprintf("region-%d", i+1)] = s
		}
	})

	DescribeTable("reaches only servers of regions that both its route and its customer allow",
		func(route, customer, served []string) {
			document := emulator.NewDocument(2)
			for _, r := range document.Routes {
				if route != nil {
					r["allowedRegions"] = route
				}
			}
			if customer != nil {
				document.Tenants[0]["allowedRegions"] = customer
			}
			d.Publish(document)
			b := startBoxes(d, 1)[0]
			DeferCleanup(b.Stop)
			Expect(emulator.WaitReady(b.settings.Ready, patience)).To(Succeed())
			status := http.StatusOK
			if len(served) == 0 {
				status = http.StatusServiceUnavailable
			}
			for i := range 40 {
				Expect(b.call(fmt.Sprintf("h%d", i)).Status).To(Equal(status))
			}
			for region, s := range servers {
				if !slices.Contains(served, region) {
					Expect(s.Runs()).To(BeEmpty(), region)
				}
			}
		},
		Entry("no homes", nil, nil, []string{"region-1", "region-2", "region-3"}),
		Entry("the route's", []string{"region-2"}, nil, []string{"region-2"}),
		Entry("the customer's", nil, []string{"region-3", "region-2"}, []string{"region-2", "region-3"}),
		Entry("both, which share one", []string{"region-1", "region-2"}, []string{"region-2", "region-3"}, []string{"region-2"}),
		Entry("both, which share none", []string{"region-1"}, []string{"region-2"}, []string{}),
		Entry("a region that nobody knows", []string{"elsewhere"}, nil, []string{}),
	)
})
