package routing_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dillsaddle.example/dillsaddle/routing"
)

var _ = Describe("the priority of a request", func() {
	urgent := &routing.Route{Rank: 0}
	patient := &routing.Route{Rank: 2}
	customer := func(rank int) *routing.Customer { return &routing.Customer{Rank: &rank} }

	// Guards against the customer's rank hiding the route's: an urgent route's requests then
	// wait behind long runs of the same customer.
	It("orders the routes of customers of equal rank", func() {
		Expect(routing.NewPriority(urgent, customer(1)).Compare(routing.NewPriority(patient, customer(1)))).To(BeNumerically("<", 0))
	})
	It("puts the customer's rank before the route's", func() {
		Expect(routing.NewPriority(patient, customer(0)).Compare(routing.NewPriority(urgent, customer(1)))).To(BeNumerically("<", 0))
	})
	It("takes the route's rank for a customer without one", func() {
		Expect(routing.NewPriority(patient, &routing.Customer{})).To(Equal(routing.NewPriority(patient, nil)))
	})
})
