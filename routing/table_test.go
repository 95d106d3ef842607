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

	DescribeTable("finds the route with the longest prefix of the host",
		func(host, path, name string) {
			r := t.Match(host, path)
			if name == "" {
				Expect(r).To(BeNil())
				return
			}
			Expect(r.Name).To(Equal(name))
		},
		Entry("the longer", "a.example", "/x/y/z", "long"),
		Entry("the shorter", "a.example", "/x/z", "short"),
		Entry("a path that only begins alike", "a.example", "/xy", ""),
		Entry("a host in capitals with a port", "A.EXAMPLE:80", "/x/", "short"),
		Entry("another host", "b.example", "/x/", "other"),
		Entry("no host", "c.example", "/x/", ""),
	)

	It("finds customers by each of their keys", func() {
		Expect(t.Customer("k2").Name).To(Equal("one"))
		Expect(t.Customer("k3")).To(BeNil())
	})
})

var _ = Describe("a split", func() {
	r := &routing.Route{Split: []routing.Share{
		{Service: "a", Weight: 90},
		{Service: "b", Weight: 10},
		{Service: "c"},
	}}

	It("gives one id always the same service, and services their weights", func() {
		counts := make(map[string]int)
		for i := range 10_000 {
			id := strconv.Itoa(i)
			Expect(r.Pick(id)).To(Equal(r.Pick(id)))
			counts[r.Pick(id)]++
		}
		Expect(counts["a"]).To(BeNumerically("~", 9000, 200))
		Expect(counts["b"]).To(BeNumerically("~", 1000, 200))
		Expect(counts["c"]).To(BeZero())
	})

	It("without weights gives the first", func() {
		Expect((&routing.Route{Split: []routing.Share{{Service: "a"}}}).Pick("x")).To(Equal("a"))
	})
})
