package lab

import (
	"context"
	"flag"
	"path/filepath"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"dillsaddle.example/dillsaddle/bench"
)

func init() {
	fs := flag.NewFlagSet("plots", flag.ContinueOnError)
	folder := fs.String("folder", "docs/measure", "`folder` to write the plots to")
	duration := fs.Duration("duration", 300*time.Second, "virtual `time` of arrivals")
	commands = append(commands, &ffcli.Command{
		Name:       "plots",
		ShortUsage: "dillsaddle-lab plots [flags]",
		ShortHelp:  "plot the main results of the policy comparison",
		FlagSet:    fs,
		Exec:       func(context.Context, []string) error { return plots(*folder, *duration) },
	})
}

// plottedPolicies are the policies drawn in the plots.
var plottedPolicies = []string{bench.PolicyLeastReported, bench.PolicyReservation, bench.PolicyOurs, bench.PolicyOracle}

// loadFactors are the load levels on the plots' x axis.
var loadFactors = []float64{0.5, 0.7, 0.85, 1.0, 1.15, 1.3}

func plots(folder string, duration time.Duration) error {
	for _, d := range []bench.Deployment{bench.Buscodigo(), bench.Jordan()} {
		goodput := plot.New()
		goodput.Title.Text = d.Name + ": goodput"
		goodput.Y.Label.Text = "tokens/s of generations within the limits"
		between := plot.New()
		between.Title.Text = d.Name + ": gold, p99 between tokens"
		between.Y.Label.Text = "ms"
		if err := addPlotLines(d, duration, goodput, between); err != nil {
			return err
		}
		for name, p := range map[string]*plot.Plot{"goodput": goodput, "between": between} {
			p.X.Label.Text = "load, of what the engines can carry"
			p.Y.Min = 0
			p.Legend.Top = true
			if err := p.Save(14*vg.Centimeter, 9*vg.Centimeter, filepath.Join(folder, d.Name+"-"+name+".svg")); err != nil {
				return err
			}
		}
	}
	return nil
}

// addPlotLines replays the load levels and adds one line per policy to both plots.
func addPlotLines(d bench.Deployment, duration time.Duration, goodput, between *plot.Plot) error {
	var cases []bench.Case
	for _, factor := range loadFactors {
		cases = append(cases, bench.Case{
			LoadFactor: factor,
			Duration:   duration,
		})
	}
	all := bench.ReplayAll(d, cases, bench.Policies())
	var tokens, gaps []any
	for _, name := range plottedPolicies {
		var t, g plotter.XYs
		for i, o := range all {
			if o.Policy != name {
				continue
			}
			x := loadFactors[i/len(bench.Policies())]
			t = append(t, plotter.XY{X: x, Y: o.Goodput})
			g = append(g, plotter.XY{X: x, Y: 1000 * o.Tier("gold").TokenGapP99})
		}
		tokens = append(tokens, name, t)
		gaps = append(gaps, name, g)
	}
	if err := plotutil.AddLinePoints(goodput, tokens...); err != nil {
		return err
	}
	return plotutil.AddLinePoints(between, gaps...)
}
