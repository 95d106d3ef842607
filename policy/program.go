package policy

import (
	"reflect"

	"github.com/google/cel-go/cel"
	"github.com/google/cel-go/ext"
	"github.com/pkg/errors"
)

// Verdict is what a program decides for one request.
type Verdict string

// The three verdicts that a program may give.
const (
	Run    Verdict = "run"
	Wait   Verdict = "wait"
	Refuse Verdict = "refuse"
)

// costLimit bounds the CEL cost units of one evaluation.
const costLimit = 2000

// Input is what a program sees of a request and of the load it meets.
type Input struct {
	Customer      string  `cel:"customer"`
	Class         string  `cel:"class"`
	Tier          string  `cel:"tier"`
	TierRank      int64   `cel:"tier_rank"`
	PromptTokens  int64   `cel:"prompt_tokens"`
	ExpectTokens  int64   `cel:"expect_tokens"`
	FreeShare     float64 `cel:"free_share"`
	WaitSeconds   float64 `cel:"wait_seconds"`
	WaitingAhead  int64   `cel:"waiting_ahead"`
	CustomerShare float64 `cel:"customer_share"`
	Fits          bool    `cel:"fits"`
}

// CompileError reports a program that can't be used, with its remedy.
type CompileError struct {
	Program string
	Cause   string
}

// Error names the fault and the remedy.
func (e *CompileError) Error() string {
	return "policy program " + e.Program + ": " + e.Cause +
		"; write a CEL expression over request.* that gives 'run', 'wait' or 'refuse' (rank: a number)"
}

// EvalError reports a program that failed while it ran.
type EvalError struct {
	Cause error
}

// Error names the fault and what happens instead.
func (e *EvalError) Error() string {
	return "policy program failed and its tier's order is used instead: " + e.Cause.Error()
}

// Unwrap gives the cause.
func (e *EvalError) Unwrap() error { return e.Cause }

// Program is one compiled policy: a decision and a rank.
type Program struct {
	decide cel.Program
	rank   cel.Program
}

// Compile checks and compiles a decision and an optional rank expression.
func Compile(name, decide, rank string) (*Program, error) {
	env, err := cel.NewEnv(
		ext.NativeTypes(reflect.TypeFor[Input](), ext.ParseStructTags(true)),
		cel.Variable("request", cel.ObjectType("policy.Input")),
	)
	if err != nil {
		return nil, errors.Wrap(err, "build the policy environment")
	}
	d, err := compileOne(env, name, decide, cel.StringType)
	if err != nil {
		return nil, err
	}
	if rank == "" {
		return &Program{decide: d}, nil
	}
	r, err := compileOne(env, name, rank, cel.DoubleType)
	if err != nil {
		return nil, err
	}
	return &Program{decide: d, rank: r}, nil
}

func compileOne(env *cel.Env, name, source string, want *cel.Type) (cel.Program, error) {
	ast, issues := env.Compile(source)
	if issues.Err() != nil {
		return nil, &CompileError{Program: name, Cause: issues.Err().Error()}
	}
	if !ast.OutputType().IsExactType(want) {
		return nil, &CompileError{Program: name, Cause: "gives " + ast.OutputType().String() + ", not " + want.String()}
	}
	program, err := env.Program(ast, cel.CostLimit(costLimit), cel.EvalOptions(cel.OptOptimize))
	if err != nil {
		return nil, &CompileError{Program: name, Cause: err.Error()}
	}
	return program, nil
}

// Decide evaluates the decision for one request.
func (p *Program) Decide(in *Input) (Verdict, error) {
	out, _, err := p.decide.Eval(activation(in))
	if err != nil {
		return Wait, &EvalError{Cause: err}
	}
	text, _ := out.Value().(string)
	verdict := Verdict(text)
	if verdict != Run && verdict != Wait && verdict != Refuse {
		return Wait, &EvalError{Cause: errors.Errorf("verdict %q is none of run, wait, refuse", text)}
	}
	return verdict, nil
}

// Rank evaluates the order of a waiting request; the lower rank goes first.
func (p *Program) Rank(in *Input) (float64, error) {
	if p.rank == nil {
		return float64(in.TierRank), nil
	}
	out, _, err := p.rank.Eval(activation(in))
	if err != nil {
		return float64(in.TierRank), &EvalError{Cause: err}
	}
	rank, _ := out.Value().(float64)
	return rank, nil
}

func activation(in *Input) map[string]any {
	return map[string]any{"request": in}
}
