package settings

import (
	"flag"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
)

// leastSecret is the shortest accepted fleet secret, in bytes.
const leastSecret = 16

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
	Record         string
	LogLevel       string
	DrainTimeout   time.Duration
	LeaseInterval  time.Duration
}

// Error reports a setting that can't be used, with its remedy.
type Error struct {
	Setting string
	What    string
	Remedy  string
}

// Error names the setting, what is wrong and the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("setting %q %s; %s", e.Setting, e.What, e.Remedy)
}

// address is a flag value for an address by IP number.
type address struct{ into *netip.AddrPort }

// String gives the address.
func (a address) String() string {
	if a.into == nil || !a.into.IsValid() {
		return ""
	}
	return a.into.String()
}

// Set parses the address.
func (a address) Set(text string) error {
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		return fmt.Errorf("write an IP number and a port, such as 127.0.0.1:7101")
	}
	*a.into = parsed
	return nil
}

// addresses is a flag value for addresses with commas between them.
type addresses struct{ into *[]netip.AddrPort }

// String gives the addresses.
func (a addresses) String() string { return "" }

// Set parses the addresses.
func (a addresses) Set(text string) error {
	for _, one := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' }) {
		parsed, err := netip.ParseAddrPort(strings.TrimSpace(one))
		if err != nil {
			return fmt.Errorf("write IP numbers and ports with commas between them")
		}
		*a.into = append(*a.into, parsed)
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
	fs.Var(address{&b.Entry}, "entry", "`address` for callers")
	fs.Var(address{&b.Scheduler}, "scheduler", "`address` of the scheduler for other processes")
	fs.Var(address{&b.Watch}, "watch", "`address` of the watch for other processes")
	fs.Var(address{&b.EntryAdmin}, "entry-admin", "operators' `address` of the entry")
	fs.Var(address{&b.SchedulerAdmin}, "scheduler-admin", "operators' `address` of the scheduler")
	fs.Var(address{&b.WatchAdmin}, "watch-admin", "operators' `address` of the watch")
	fs.Var(address{&b.Platform}, "platform", "`address` of the platform's configuration service")
	fs.Var(addresses{&b.Peers}, "peers", "watch `addresses` of other boxes, for a start while the platform is down")
	fs.StringVar(&b.Secret, "secret", "", "fleet `secret` that authenticates stream ids")
	fs.StringVar(&b.Record, "record", "", "`FILE` to record core events to, for replay")
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
	return b, b.check()
}

func (b *Box) check() error {
	if b.Name == "" {
		return missing("box", "give the box's name as the platform lists it")
	}
	if b.Zone == "" {
		return missing("zone", "give the box's availability zone")
	}
	if len(b.Secret) < leastSecret {
		return &Error{
			Setting: "secret",
			What:    fmt.Sprintf("is shorter than %d bytes", leastSecret),
			Remedy:  "give all boxes the same random text, by the settings file or DILLSADDLE_SECRET",
		}
	}
	needed := map[string]netip.AddrPort{
		"entry":           b.Entry,
		"scheduler":       b.Scheduler,
		"watch":           b.Watch,
		"entry-admin":     b.EntryAdmin,
		"scheduler-admin": b.SchedulerAdmin,
		"watch-admin":     b.WatchAdmin,
		"platform":        b.Platform,
	}
	for _, name := range []string{"entry", "scheduler", "watch", "entry-admin", "scheduler-admin", "watch-admin", "platform"} {
		if !needed[name].IsValid() {
			return missing(name, `give it as "IP:port"`)
		}
	}
	return b.checkRanges()
}

func (b *Box) checkRanges() error {
	if b.LeaseInterval < 50*time.Millisecond || b.LeaseInterval > time.Second {
		return &Error{
			Setting: "lease-every",
			What:    "is " + b.LeaseInterval.String(),
			Remedy:  "write a time from 50ms to 1s: a lease ends after 4s",
		}
	}
	if b.DrainTimeout < time.Second {
		return &Error{
			Setting: "drain-limit",
			What:    "is " + b.DrainTimeout.String(),
			Remedy:  "write 1s or more: a planned stop waits for streams",
		}
	}
	return nil
}

func missing(name, remedy string) error {
	return &Error{
		Setting: name,
		What:    "is missing",
		Remedy:  remedy,
	}
}
