package commands

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/config"
	"dillsaddle.example/dillsaddle/policy"
)

var explainFlags struct {
	customer       string
	promptTokens   int64
	expectedTokens int64
	freeShare      float64
	waitSeconds    float64
	waitingAhead   int64
	customerShare  float64
	fits           bool
}

func init() {
	register(&command{
		name:  "explain",
		usage: "-customer NAME [flags] FILE",
		help:  "show a policy's verdict for a request under a load, and the reason",
		flags: func(fs *flag.FlagSet) {
			f := &explainFlags
			fs.StringVar(&f.customer, "customer", "", "`name` of the customer")
			fs.Int64Var(&f.promptTokens, "prompt", 200, "prompt length in `tokens`")
			fs.Int64Var(&f.expectedTokens, "expect", 200, "expected output length in `tokens`")
			fs.Float64Var(&f.freeShare, "free", 0.5, "free `fraction` of the memory, 0 to 1")
			fs.Float64Var(&f.waitSeconds, "waited", 0, "`seconds` that the request has waited")
			fs.Int64Var(&f.waitingAhead, "ahead", 0, "number of `requests` queued ahead of it")
			fs.Float64Var(&f.customerShare, "share", 0, "the customer's `fraction` of the running requests, 0 to 1")
			fs.BoolVar(&f.fits, "fits", true, "whether an engine has room for it")
		},
		run:     explain,
		suggest: func() []string { return []string{"*.json"} },
	})
}

func explain(_ context.Context, out io.Writer, files []string) error {
	if len(files) != 1 {
		return &UsageError{Problem: "explain needs one file"}
	}
	source, err := os.ReadFile(files[0])
	if err != nil {
		return errors.Wrap(err, "read the document")
	}
	d, faults := config.Parse(files[0], source)
	if d == nil {
		return faults
	}
	c := d.Customer(explainFlags.customer)
	if c == nil {
		return &UsageError{Problem: fmt.Sprintf("no customer %q in %s", explainFlags.customer, files[0])}
	}
	return explainFor(out, d, c)
}

func explainFor(out io.Writer, d *config.Document, c *config.Customer) error {
	t := d.Tier(c.Tier)
	p := d.Policy(t.Policy)
	f := &explainFlags
	in := &policy.Input{
		Customer:      c.Name,
		Class:         c.Class,
		Tier:          t.Name,
		TierRank:      int64(t.Rank),
		PromptTokens:  f.promptTokens,
		ExpectTokens:  f.expectedTokens,
		FreeShare:     f.freeShare,
		WaitSeconds:   f.waitSeconds,
		WaitingAhead:  f.waitingAhead,
		CustomerShare: f.customerShare,
		Fits:          f.fits,
	}
	verdict, err := p.Program.Decide(in)
	if err != nil {
		return err
	}
	rank, err := p.Program.Rank(in)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "verdict: %s\nrank:    %g (lower goes first)\n", verdict, rank)
	fmt.Fprintf(out, "because: customer %s is of tier %s (rank %d, risk %g), whose policy %s says\n", c.Name, t.Name, t.Rank, t.Risk, p.Name)
	fmt.Fprintf(out, "         decide: %s\n", p.Decide)
	if p.Rank != "" {
		fmt.Fprintf(out, "         rank:   %s\n", p.Rank)
	}
	fmt.Fprintf(out, "given:   %+v\n", *in)
	return nil
}
