package settings

import (
	"flag"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
)

// minSecretBytes is the minimum length of the fleet secret.
const minSecretBytes = 16

// Box holds the settings of one box. All addresses are IP addresses with ports.
type Box struct {
	Name           string
	Zone           string
	Region         string
	Entry          netip.AddrPort   // listens for callers
	Scheduler      netip.AddrPort   // listens for other processes of the fleet
	Watch          netip.AddrPort   // listens for other processes of the fleet
	EntryAdmin     netip.AddrPort   // listens for operators
	SchedulerAdmin netip.AddrPort   // listens for operators
	WatchAdmin     netip.AddrPort   // listens for operators
	Platform       netip.AddrPort   // configuration service to connect to
	Peers          []netip.AddrPort // watches to query at the start
	Secret         string           // shared by the fleet, authenticates stream ids
	RecordFile     string           // core events are recorded to it; "" for none
	LogLevel       string
	DrainTimeout   time.Duration // maximum duration of a planned stop
	LeaseInterval  time.Duration // time between lease renewals
}

// Error reports an invalid or missing setting, with a remedy.
type Error struct {
	Setting string
	Problem string
	Remedy  string
}

// Error names the setting, the problem and the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("setting %q %s; %s", e.Setting, e.Problem, e.Remedy)
}

// addressValue is a flag.Value for an IP address and port.
type addressValue struct{ dst *netip.AddrPort }

// String formats the address.
func (a addressValue) String() string {
	if a.dst == nil || !a.dst.IsValid() {
		return ""
	}
	return a.dst.String()
}

// Set parses the address.
func (a addressValue) Set(text string) error {
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		return fmt.Errorf("write an IP address and a port, such as 127.0.0.1:7101")
	}
	*a.dst = parsed
	return nil
}

// addressesValue is a flag.Value for a comma-separated list of addresses.
type addressesValue struct{ dst *[]netip.AddrPort }

// String returns the default, which is empty.
func (a addressesValue) String() string { return "" }

// Set parses the addresses and appends them.
func (a addressesValue) Set(text string) error {
	for _, part := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' }) {
		parsed, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil {
			return fmt.Errorf("write IP addresses and ports, separated by commas")
		}
		*a.dst = append(*a.dst, parsed)
	}
	return nil
}

// Parse reads and validates the settings of a box from arguments, the environment
// and the settings file.
func Parse(program string, arguments []string) (*Box, error) {
	b := &Box{}
	fs := flag.NewFlagSet(program, flag.ContinueOnError)
	fs.String("settings", "", "settings `FILE` in JSON; flags take precedence over it")
	fs.StringVar(&b.Name, "box", "", "`name` of the box, as the platform lists it")
	fs.StringVar(&b.Zone, "zone", "", "availability `zone` of the box")
	fs.StringVar(&b.Region, "region", "", "`region` of the box")
	fs.Var(addressValue{&b.Entry}, "entry", "`address` for callers")
	fs.Var(addressValue{&b.Scheduler}, "scheduler", "`address` of the scheduler for other processes")
	fs.Var(addressValue{&b.Watch}, "watch", "`address` of the watch for other processes")
	fs.Var(addressValue{&b.EntryAdmin}, "entry-admin", "operators' `address` of the entry")
	fs.Var(addressValue{&b.SchedulerAdmin}, "scheduler-admin", "operators' `address` of the scheduler")
	fs.Var(addressValue{&b.WatchAdmin}, "watch-admin", "operators' `address` of the watch")
	fs.Var(addressValue{&b.Platform}, "platform", "`address` of the platform's configuration service")
	fs.Var(addressesValue{&b.Peers}, "peers", "watch `addresses` of other boxes, used at the start if the platform is down")
	fs.StringVar(&b.Secret, "secret", "", "fleet `secret` that authenticates stream ids")
	fs.StringVar(&b.RecordFile, "record", "", "`FILE` to which core events are recorded for replay")
	fs.StringVar(&b.LogLevel, "log-level", "info", "lowest `level` of log lines to write: debug, info, warn, error")
	fs.DurationVar(&b.DrainTimeout, "drain-limit", time.Hour, "longest `time` that a planned stop waits for streams")
	fs.DurationVar(&b.LeaseInterval, "lease-every", 500*time.Millisecond, "`time` between lease renewals")
	err := ff.Parse(fs, arguments,
		ff.WithConfigFileFlag("settings"),
		ff.WithConfigFileParser(ff.JSONParser),
		ff.WithEnvVarPrefix("DILLSADDLE"),
	)
	if err != nil {
		return nil, err
	}
	return b, b.validate()
}

func (b *Box) validate() error {
	if b.Name == "" {
		return missingError("box", "set the box's name as the platform lists it")
	}
	if b.Zone == "" {
		return missingError("zone", "set the box's availability zone")
	}
	if len(b.Secret) < minSecretBytes {
		return &Error{
			Setting: "secret",
			Problem: fmt.Sprintf("is shorter than %d bytes", minSecretBytes),
			Remedy:  "set the same random text on all boxes, in the settings file or DILLSADDLE_SECRET",
		}
	}
	addresses := map[string]netip.AddrPort{
		"entry":           b.Entry,
		"scheduler":       b.Scheduler,
		"watch":           b.Watch,
		"entry-admin":     b.EntryAdmin,
		"scheduler-admin": b.SchedulerAdmin,
		"watch-admin":     b.WatchAdmin,
		"platform":        b.Platform,
	}
	for _, name := range []string{"entry", "scheduler", "watch", "entry-admin", "scheduler-admin", "watch-admin", "platform"} {
		if !addresses[name].IsValid() {
			return missingError(name, `set it to "IP:port"`)
		}
	}
	return b.validateRanges()
}

func (b *Box) validateRanges() error {
	if b.LeaseInterval < 50*time.Millisecond || b.LeaseInterval > time.Second {
		return &Error{
			Setting: "lease-every",
			Problem: "is " + b.LeaseInterval.String(),
			Remedy:  "write a time from 50ms to 1s; a lease expires after 4s",
		}
	}
	if b.DrainTimeout < time.Second {
		return &Error{
			Setting: "drain-limit",
			Problem: "is " + b.DrainTimeout.String(),
			Remedy:  "write 1s or more; a planned stop waits for streams",
		}
	}
	return nil
}

func missingError(name, remedy string) error {
	return &Error{
		Setting: name,
		Problem: "is missing",
		Remedy:  remedy,
	}
}
