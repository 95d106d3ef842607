package settings

import (
	"flag"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
)

// minSecretBytes is the shortest accepted fleet secret, in bytes.
const minSecretBytes = 16

// Box holds the settings of one box.
type Box struct {
	Name           string
	Zone           string
	Region         string
	Entry          netip.AddrPort
	Scheduler      netip.AddrPort
	Watch          netip.AddrPort
	EntryAdmin     netip.AddrPort
	SchedulerAdmin netip.AddrPort
	WatchAdmin     netip.AddrPort
	Platform       netip.AddrPort
	Peers          []netip.AddrPort
	Secret         string
	RecordFile     string
	LogLevel       string
	DrainTimeout   time.Duration
	LeaseInterval  time.Duration
}

// Error reports a setting that can't be used, with its remedy.
type Error struct {
	Setting string
	Problem string
	Remedy  string
}

// Error names the setting, what is wrong and the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("setting %q %s; %s", e.Setting, e.Problem, e.Remedy)
}

// addressValue is a flag value for an address by IP number.
type addressValue struct{ dst *netip.AddrPort }

// String gives the address.
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
		return fmt.Errorf("write an IP number and a port, such as 127.0.0.1:7101")
	}
	*a.dst = parsed
	return nil
}

// addressesValue is a flag value for addresses with commas between them.
type addressesValue struct{ dst *[]netip.AddrPort }

// String gives the addresses.
func (a addressesValue) String() string { return "" }

// Set parses the addresses.
func (a addressesValue) Set(text string) error {
	for _, part := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' }) {
		parsed, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil {
			return fmt.Errorf("write IP numbers and ports with commas between them")
		}
		*a.dst = append(*a.dst, parsed)
	}
	return nil
}

// Parse reads the settings of a box from arguments and their settings file.
func Parse(program string, arguments []string) (*Box, error) {
	b := &Box{}
	fs := flag.NewFlagSet(program, flag.ContinueOnError)
	fs.String("settings", "", "settings `FILE` in JSON; flags go before it")
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
	fs.Var(addressesValue{&b.Peers}, "peers", "watch `addresses` of other boxes, for a start while the platform is down")
	fs.StringVar(&b.Secret, "secret", "", "fleet `secret` that authenticates stream ids")
	fs.StringVar(&b.RecordFile, "record", "", "`FILE` to record core events to, for replay")
	fs.StringVar(&b.LogLevel, "log-level", "info", "least `level` of log lines: debug, info, warn, error")
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
		return missingError("box", "give the box's name as the platform lists it")
	}
	if b.Zone == "" {
		return missingError("zone", "give the box's availability zone")
	}
	if len(b.Secret) < minSecretBytes {
		return &Error{
			Setting: "secret",
			Problem: fmt.Sprintf("is shorter than %d bytes", minSecretBytes),
			Remedy:  "give all boxes the same random text, by the settings file or DILLSADDLE_SECRET",
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
			return missingError(name, `give it as "IP:port"`)
		}
	}
	return b.validateRanges()
}

func (b *Box) validateRanges() error {
	if b.LeaseInterval < 50*time.Millisecond || b.LeaseInterval > time.Second {
		return &Error{
			Setting: "lease-every",
			Problem: "is " + b.LeaseInterval.String(),
			Remedy:  "write a time from 50ms to 1s: a lease ends after 4s",
		}
	}
	if b.DrainTimeout < time.Second {
		return &Error{
			Setting: "drain-limit",
			Problem: "is " + b.DrainTimeout.String(),
			Remedy:  "write 1s or more: a planned stop waits for streams",
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
