package commands

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/pkg/errors"

	"dillsaddle.example/dillsaddle/box"
	"dillsaddle.example/dillsaddle/entry"
)

var statusJSON bool

func init() {
	register(&command{
		name:  "status",
		usage: "[-json] ADDRESS",
		help:  "show a box: active versions, leases, queue by tier, drain state",
		flags: func(fs *flag.FlagSet) {
			fs.BoolVar(&statusJSON, "json", false, "print JSON instead of tables")
		},
		run: status,
	})
}

// fetch reads a page from a process's admin address.
func fetch(ctx context.Context, address, path string) (int, []byte, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return 0, nil, &UsageError{Problem: fmt.Sprintf("%q is not an IP address and port", address)}
	}
	c, err := newAdminClient()
	if err != nil {
		return 0, nil, err
	}
	code, body, err := c.Get(ctx, nil, "http://"+parsed.String()+path)
	return code, body, errors.Wrapf(err, "connect to %s; use an entry's admin address (entry-admin) or a box's metrics address", parsed)
}

// newAdminClient returns a client for processes' admin addresses.
func newAdminClient() (*client.Client, error) {
	return client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(time.Second),
		client.WithClientReadTimeout(3*time.Second),
	)
}

func status(ctx context.Context, out io.Writer, arguments []string) error {
	if len(arguments) != 1 {
		return &UsageError{Problem: "status needs one address"}
	}
	code, body, err := fetch(ctx, arguments[0], "/status")
	if err != nil {
		return err
	}
	if code != 200 {
		return errors.Errorf("%s answered with status %d; use an entry's admin address (entry-admin) or a box's metrics address", arguments[0], code)
	}
	if statusJSON {
		var pretty bytes.Buffer
		if err := json.Indent(&pretty, body, "", "  "); err != nil {
			return err
		}
		_, err := fmt.Fprintln(out, pretty.String())
		return err
	}
	var node box.Status
	if err := json.Unmarshal(body, &node); err == nil && node.Program == box.Program {
		return printNode(out, &node)
	}
	var s entry.Status
	if err := json.Unmarshal(body, &s); err != nil {
		return errors.Wrap(err, "parse the status; use an entry's admin address (entry-admin) or a box's metrics address")
	}
	return printStatus(out, &s)
}

func printStatus(out io.Writer, s *entry.Status) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "box\t%s in %s\n", s.Box, s.Zone)
	fmt.Fprintf(w, "configuration\tversion %d\n", s.ConfigVersion)
	fmt.Fprintf(w, "list of boxes\tversion %d, confirmed %s ago\n", s.ListVersion, s.ListAge)
	fmt.Fprintf(w, "state\tentry %s, scheduler %s, %d requests, %d claims\n", s.Drain, s.Scheduler.Drain, s.Requests, s.Scheduler.Claims)
	fmt.Fprintf(w, "suspected\t%s\n", joinOrNone(s.Suspected))
	fmt.Fprintln(w, "\nMODEL\tRUNNING\tWAITING\tLEASES")
	for _, m := range s.Models {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", m.Model, m.Running, waitingByTier(m.Waiting), leaseList(m.Leases))
	}
	fmt.Fprintln(w, "\nOWNED HALF\tSTATE\tBOXES\tUSED\tMEMORY")
	for _, h := range s.Scheduler.OwnedSlots {
		fmt.Fprintf(w, "%s/%d\t%s\t%d\t%d\t%d\n", h.Endpoint, h.Slot, h.State, h.Boxes, h.Used, h.Capacity)
	}
	return w.Flush()
}

// printNode prints the status of a box that runs as one process.
func printNode(out io.Writer, s *box.Status) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "box\t%s in %s\n", s.Box, s.Zone)
	fmt.Fprintf(w, "configuration\tversion %d\n", s.ConfigVersion)
	fmt.Fprintf(w, "list of endpoints\tchanged at %d, confirmed %s ago\n", s.ListNumber, s.ListAge)
	fmt.Fprintf(w, "state\tready %t, %d requests, reader %t, store away %t\n", s.Ready, s.Active, s.Reader, s.StoreDown)
	fmt.Fprintf(w, "retry budget\tshared by %d boxes\n", s.Sharers)
	fmt.Fprintf(w, "waiting\t%d requests here, %d known from other boxes\n", s.Waiting.Own, s.Waiting.Remote)
	fmt.Fprintf(w, "log\t%d lines left out\n", s.DroppedLines)
	if len(s.Quarantined) > 0 {
		fmt.Fprintln(w, "\nREQUEST KEPT FROM ENDPOINTS\tFOR\tENDED UNDER IT")
	}
	for _, h := range s.Quarantined {
		fmt.Fprintf(w, "%s\t%s\t%s\n", h.Content, h.Remaining, joinOrNone(h.Crashed))
	}
	if len(s.QuarantinedParts) > 0 {
		fmt.Fprintln(w, "\nPROMPT PART KEPT FROM ENDPOINTS\tFOR\tREQUESTS\tENDED UNDER THEM")
	}
	for _, h := range s.QuarantinedParts {
		fmt.Fprintf(w, "%s/%s\t%s\t%d\t%s\n", h.Service, h.Part, h.Remaining, h.Requests, joinOrNone(h.Crashed))
	}
	if len(s.Throttled) > 0 {
		fmt.Fprintln(w, "\nENDPOINT THAT ASKED FOR LESS\tREQUESTS/S OF ALL BOXES\tRESTS FOR")
	}
	for _, r := range s.Throttled {
		fmt.Fprintf(w, "%s\t%s\t%s\n", r.Endpoint, formatRate(r.PerSecond), cmp.Or(r.Backoff, "-"))
	}
	if len(s.Unreachable) > 0 {
		fmt.Fprintln(w, "\nUNREACHABLE SERVICE\tFOR\tENDPOINTS THAT ACCEPT NO CONNECTION")
	}
	for _, u := range s.Unreachable {
		fmt.Fprintf(w, "%s\t%s\t%s\n", u.Service, u.For, joinOrNone(u.Endpoints))
	}
	printLoad(w, s)
	fmt.Fprintln(w, "\nBOX\tZONE\tSILENCE\tLEAVING")
	for _, b := range s.Boxes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\n", b.Box, b.Zone, b.Silence, b.Leaving)
	}
	return w.Flush()
}

func formatRate(limit *float64) string {
	if limit == nil {
		return "any"
	}
	return strconv.FormatFloat(*limit, 'f', 1, 64)
}

func joinOrNone(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, " ")
}

func waitingByTier(byTier map[string]int) string {
	parts := make([]string, 0, len(byTier))
	for tier, n := range byTier {
		parts = append(parts, fmt.Sprintf("%s:%d", tier, n))
	}
	slices.Sort(parts)
	return joinOrNone(parts)
}

func leaseList(all []entry.LeaseStatus) string {
	parts := make([]string, 0, len(all))
	for _, l := range all {
		parts = append(parts, l.Endpoint+"("+l.TimeLeft+")")
	}
	return joinOrNone(parts)
}
