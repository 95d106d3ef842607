package commands

import (
	"cmp"
	"fmt"
	"io"

	"dillsaddle.example/dillsaddle/box"
)

// printLoad prints the requests of a box that wait for room, and the engines that it knows.
func printLoad(w io.Writer, s *box.Status) {
	if s.Waiting.Own > 0 {
		fmt.Fprintln(w, "\nWAITING REQUEST\tROUTE\tRANK OF CUSTOMER\tOF ROUTE\tFOR")
	}
	for _, r := range s.Waiting.Requests {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", r.Request, r.Route, r.CustomerRank, r.RouteRank, r.Wait)
	}
	if omitted := s.Waiting.Own - len(s.Waiting.Requests); omitted > 0 {
		fmt.Fprintf(w, "%d more\n", omitted)
	}
	if len(s.Engines) > 0 {
		fmt.Fprintln(w, "\nENGINE\tPACE\tMEMORY REPORTED\tESTIMATED\tPAUSE-SENSITIVE STREAMS")
	}
	for _, e := range s.Engines {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.2f\t%d\n", e.Endpoint, cmp.Or(e.Pace, "-"), formatUse(e.Reported), e.Estimated, e.Sensitive)
	}
	if s.OmittedEngines > 0 {
		fmt.Fprintf(w, "%d more, which are less full\n", s.OmittedEngines)
	}
	if len(s.PaceClasses) > 0 {
		fmt.Fprintln(w, "\nSERVICE\tRELATIVE PACE\tENGINES\tPACE\tEXPOSURES\tBREAKS")
	}
	for _, c := range s.PaceClasses {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%.0f\t%.0f\n", c.Service, c.RelativePace, c.Engines, cmp.Or(c.Pace, "-"), c.Exposures, c.Breaks)
	}
}

// formatUse formats a fraction of an engine's memory; nil is unknown.
func formatUse(use *float64) string {
	if use == nil {
		return "-"
	}
	return fmt.Sprintf("%.2f", *use)
}
