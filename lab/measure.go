package lab

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"dillsaddle.example/dillsaddle/bench"
)

func init() {
	fs := flag.NewFlagSet("measure", flag.ContinueOnError)
	deployment := fs.String("deployment", "", "buscodigo or jordan; empty for both")
	name := fs.String("case", "", "name of one case; empty for all")
	duration := fs.Duration("duration", 300*time.Second, "virtual `time` of arrivals")
	brief := fs.Bool("brief", false, "leave out the table of tiers")
	commands = append(commands, &ffcli.Command{
		Name:       "measure",
		ShortUsage: "dillsaddle-lab measure [flags]",
		ShortHelp:  "compare admission policies in virtual time and print the results as tables",
		FlagSet:    fs,
		Exec:       func(context.Context, []string) error { return measure(*deployment, *name, *duration, *brief) },
	})
}

func measure(deployment, name string, duration time.Duration, brief bool) error {
	cases := bench.Cases(duration)
	if name != "" {
		one, err := bench.FindCase(cases, name)
		if err != nil {
			return err
		}
		cases = []bench.Case{one}
	}
	for _, d := range []bench.Deployment{bench.Buscodigo(), bench.Jordan()} {
		if deployment != "" && d.Name != deployment {
			continue
		}
		all := bench.ReplayAll(d, cases, bench.Policies())
		if !brief {
			if err := bench.PrintTiers(os.Stdout, all); err != nil {
				return err
			}
		}
		if err := bench.PrintGoodput(os.Stdout, all, bench.Policies()); err != nil {
			return err
		}
		if err := bench.PrintSummary(os.Stdout, d.Name, bench.Summarise(all)); err != nil {
			return err
		}
		fmt.Printf("%s: the noisy customer costs the others of its tier %.1f%% of their goodput\n", d.Name, 100*bench.NoisyCustomerCost(all, d.NoisyTierCustomers()))
	}
	return nil
}
