package routing_test

import (
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/routing"
)

var _ = Describe("a table", func() {
	t := routing.NewTable(&routing.Document{
		Version:     3,
		RequiresKey: true,
		Routes: []routing.Route{
			{Name: "short", Host: "a.example", PathPrefix: "/x/"},
			{Name: "long", Host: "A.example", PathPrefix: "/x/y/"},
			{Name: "other", Host: "b.example", PathPrefix: "/"},
		},
		Customers: []routing.Customer{{Name: "one", Keys: []string{"k1", "k2"}}},
	})

	DescribeTable("finds the route of the host with the longest matching prefix",
		func(host, path, name string) {
			r := t.Match(host, path)
			if name == "" {
				Expect(r).To(BeNil())
				return
			}
			Expect(r.Name).To(Equal(name))
		},
		Entry("the longer prefix", "a.example", "/x/y/z", "long"),
		Entry("the shorter prefix", "a.example", "/x/z", "short"),
		Entry("a path with a longer first segment", "a.example", "/xy", ""),
		Entry("a host in capitals with a port", "A.EXAMPLE:80", "/x/", "short"),
		Entry("another host", "b.example", "/x/", "other"),
		Entry("an unknown host", "c.example", "/x/", ""),
	)

	It("finds a customer by each of its keys", func() {
		Expect(t.Customer("k2").Name).To(Equal("one"))
		Expect(t.Customer("k3")).To(BeNil())
	})
})

var _ = Describe("a route's split", func() {
	r := &routing.Route{Split: []routing.Share{
		{Service: "a", Weight: 90},
		{Service: "b", Weight: 10},
		{Service: "c"},
	}}

	It("maps an ID to the same service each time, and IDs to services by weight", func() {
		counts := make(map[string]int)
		for i := range 10_000 {
			id := strconv.Itoa(i)
			Expect(r.PickService(id)).To(Equal(r.PickService(id)))
			counts[r.PickService(id)]++
		}
		Expect(counts["a"]).To(BeNumerically("~", 9000, 200))
		Expect(counts["b"]).To(BeNumerically("~", 1000, 200))
		Expect(counts["c"]).To(BeZero())
	})

	It("without weights uses the first service", func() {
		Expect((&routing.Route{Split: []routing.Share{{Service: "a"}}}).PickService("x")).To(Equal("a"))
	})
})
