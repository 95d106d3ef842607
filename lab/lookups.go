package lab

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"gonum.org/v1/gonum/stat"

	"dillsaddle.example/dillsaddle/proof"
	"dillsaddle.example/dillsaddle/standin"
)

func init() {
	fs := flag.NewFlagSet("lookups", flag.ContinueOnError)
	programs := fs.String("programs", "bin", "`folder` of the programs")
	duration := fs.Duration("lasting", 8*time.Second, "`time` of each load")
	commands = append(commands, &ffcli.Command{
		Name:       "lookups",
		ShortUsage: "dillsaddle-lab lookups [flags]",
		ShortHelp:  "measure lookups of a service with slow servers, with and without hedging",
		FlagSet:    fs,
		Exec:       func(context.Context, []string) error { return lookups(os.Stdout, *programs, *duration) },
	})
}

// Size of the lookup load.
const (
	lookupCallers = 16
	lookupServers = 3
)

// latencyCase is a pattern of delayed answers from a service's servers.
type latencyCase struct {
	name   string
	faults standin.Faults
}

var latencyCases = []latencyCase{
	{name: "sound"},
	{name: "each 20th answer 400 ms late", faults: standin.Faults{DelayMS: 400, DelayEvery: 20}},
	{name: "each 50th answer 1.5 s late", faults: standin.Faults{DelayMS: 1500, DelayEvery: 50}},
	{name: "each answer 30 ms late", faults: standin.Faults{DelayMS: 30}},
}

// lookups measures every latency case with and without hedging.
func lookups(out io.Writer, programs string, duration time.Duration) error {
	for _, l := range latencyCases {
		for _, hedge := range []bool{false, true} {
			if err := printLookups(out, programs, l, hedge, duration); err != nil {
				return err
			}
		}
	}
	return nil
}

func printLookups(out io.Writer, programs string, l latencyCase, hedge bool, duration time.Duration) error {
	shape := proof.DefaultShape()
	shape.Boxes = 1
	shape.Engines = 1
	shape.Servers = lookupServers
	shape.Hedge = hedge
	f, err := proof.Start(programs, shape)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.SetServerFaults(l.faults); err != nil {
		return err
	}
	all, err := f.Lookups(lookupCallers, duration)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "lookups, %s, hedge %t: %d, %d not answered, p50 %.1f, p95 %.1f, p99 %.1f, p99.9 %.1f ms, %.3f calls a lookup\n",
		l.name, hedge, len(all.Latencies), all.Failed, lookupQuantileMS(all, 0.5), lookupQuantileMS(all, 0.95), lookupQuantileMS(all, 0.99), lookupQuantileMS(all, 0.999), float64(all.Calls)/float64(len(all.Latencies)))
	return err
}

// lookupQuantileMS returns a quantile of the lookups' latencies, in milliseconds.
func lookupQuantileMS(all *proof.Lookups, q float64) float64 {
	return 1000 * stat.Quantile(q, stat.Empirical, all.Latencies, nil)
}
