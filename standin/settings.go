package standin

import (
	"flag"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"
)

// settings holds the flags of the fakes' program.
type settings struct {
	role    string
	address string
	config  string
	list    string
	name    string
	models  string
	engine  EngineRules
}

// Run starts the fake that the role flag names and serves until the process ends.
func Run(arguments []string) error {
	hlog.SetLevel(hlog.LevelError)
	s := &settings{engine: EngineRules{Batch: DefaultBatchRules()}}
	fs := flag.NewFlagSet("dillsaddle-standin", flag.ContinueOnError)
	fs.String("settings", "", "settings `FILE` in JSON")
	fs.StringVar(&s.role, "role", "", "platform, engine or service")
	fs.StringVar(&s.address, "address", "", "`address` to serve on")
	fs.StringVar(&s.config, "config", "", "platform: configuration `FILE` to start with")
	fs.StringVar(&s.list, "list", "", "platform: list `FILE` to start with")
	fs.StringVar(&s.name, "name", "standin", "engine, service: `name`")
	fs.StringVar(&s.models, "models", "", "engine: comma-separated model `names`")
	s.addEngineFlags(fs)
	err := ff.Parse(fs, arguments, ff.WithConfigFileFlag("settings"), ff.WithConfigFileParser(ff.JSONParser))
	if err != nil {
		return err
	}
	h, err := s.buildServer()
	if err != nil {
		return err
	}
	return h.Run()
}

func (s *settings) addEngineFlags(fs *flag.FlagSet) {
	e := &s.engine
	fs.IntVar(&e.Batch.MemoryTokens, "memory", e.Batch.MemoryTokens, "engine: memory in `tokens`")
	fs.IntVar(&e.Batch.MaxBatch, "batch", e.Batch.MaxBatch, "engine: maximum `sequences` in a batch")
	fs.DurationVar(&e.Batch.StepBase, "step", e.Batch.StepBase, "engine: base `time` of a batch step")
	fs.DurationVar(&e.Batch.StepPerSeq, "step-sequence", e.Batch.StepPerSeq, "engine: additional step `time` for each sequence")
	fs.Float64Var(&e.OutputLength.Median, "median", 60, "engine: median output length in `tokens`")
	fs.Float64Var(&e.OutputLength.Sigma, "spread", 0.8, "engine: `sigma` of the log-normal output length")
	fs.IntVar(&e.OutputLength.MaxLength, "longest", 20000, "engine: maximum output length in `tokens`")
	fs.Uint64Var(&e.Seed, "seed", 1, "engine: random `seed` of the output lengths")
	fs.DurationVar(&e.LoadLag, "load-lag", 200*time.Millisecond, "engine: `lag` of the load report")
	fs.IntVar(&e.Cache.HeldBack, "cache-lag", 2, "engine: number of newest cache `events` not reported yet")
	fs.IntVar(&e.Cache.DropEvery, "cache-gap", 7, "engine: never report every `n`-th cache event; 0 reports all")
	fs.BoolVar(&e.ChecksFences, "checks-fences", true, "engine: reject orders with an older fence")
	fs.DurationVar(&e.ResumeWindow, "linger", time.Minute, "engine: `time` for which a finished generation can be read")
}

func (s *settings) buildServer() (*server.Hertz, error) {
	address, err := netip.ParseAddrPort(s.address)
	if err != nil {
		return nil, errors.New(`flag -address must be "IP:port"`)
	}
	switch s.role {
	case "platform":
		return s.buildPlatform(address)
	case "engine":
		s.engine.Name = s.name
		s.engine.Models = strings.Split(s.models, ",")
		return NewEngine(s.engine).HTTPServer(address), nil
	case "service":
		return NewService(s.name).HTTPServer(address), nil
	}
	return nil, errors.New("flag -role must be platform, engine or service")
}

func (s *settings) buildPlatform(address netip.AddrPort) (*server.Hertz, error) {
	config, err := os.ReadFile(s.config)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration file (flag -config)")
	}
	list, err := os.ReadFile(s.list)
	if err != nil {
		return nil, errors.Wrap(err, "read list file (flag -list)")
	}
	p, err := NewPlatform(config, list)
	if err != nil {
		return nil, err
	}
	return p.HTTPServer(address), nil
}
