package policy

import (
	"reflect"

	"github.com/google/cel-go/cel"
	"github.com/google/cel-go/ext"
	"github.com/pkg/errors"
)

// Verdict is the decision of a program on a request.
type Verdict string

// The verdicts.
const (
	Run    Verdict = "run"
	Wait   Verdict = "wait"
	Refuse Verdict = "refuse"
)

// maxEvalCost is the limit of one evaluation in CEL cost units.
const maxEvalCost = 2000

// Input is the variable "request" of a program.
type Input struct {
	Customer      string  `cel:"customer"`
	Class         string  `cel:"class"`
	Tier          string  `cel:"tier"`
	TierRank      int64   `cel:"tier_rank"` // 0 is the most urgent
	PromptTokens  int64   `cel:"prompt_tokens"`
	ExpectTokens  int64   `cel:"expect_tokens"`  // expected output length in tokens
	FreeShare     float64 `cel:"free_share"`     // fraction of the leased memory that isn't planned for, on average
	WaitSeconds   float64 `cel:"wait_seconds"`   // how long the request has waited
	WaitingAhead  int64   `cel:"waiting_ahead"`  // waiting requests ordered at most at the tier's rank
	CustomerShare float64 `cel:"customer_share"` // fraction of the running requests that are the customer's
	Fits          bool    `cel:"fits"`           // whether an endpoint has room for the request now
}

// CompileError is returned for a program that doesn't compile.
type CompileError struct {
	Program string
	Cause   string
}

// Error describes the error and what to write instead.
func (e *CompileError) Error() string {
	return "policy program " + e.Program + ": " + e.Cause +
		"; write a CEL expression over request.* that returns 'run', 'wait' or 'refuse' (for a rank: a number)"
}

// EvalError is returned when the evaluation of a program fails.
type EvalError struct {
	Cause error
}

// Error describes the error and the fallback.
func (e *EvalError) Error() string {
	return "policy program failed; using the tier's order instead: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *EvalError) Unwrap() error { return e.Cause }

// Program is a compiled policy program.
type Program struct {
	decide cel.Program
	rank   cel.Program // nil to use the tier's rank
}

// Compile compiles a decision expression and an optional rank expression.
func Compile(name, decide, rank string) (*Program, error) {
	env, err := cel.NewEnv(
		ext.NativeTypes(reflect.TypeFor[Input](), ext.ParseStructTags(true)),
		cel.Variable("request", cel.ObjectType("policy.Input")),
	)
	if err != nil {
		return nil, errors.Wrap(err, "build the policy environment")
	}
	d, err := compileExpression(env, name, decide, cel.StringType)
	if err != nil {
		return nil, err
	}
	if rank == "" {
		return &Program{decide: d}, nil
	}
	r, err := compileExpression(env, name, rank, cel.DoubleType)
	if err != nil {
		return nil, err
	}
	return &Program{decide: d, rank: r}, nil
}

func compileExpression(env *cel.Env, name, source string, want *cel.Type) (cel.Program, error) {
	ast, issues := env.Compile(source)
	if issues.Err() != nil {
		return nil, &CompileError{Program: name, Cause: issues.Err().Error()}
	}
	if !ast.OutputType().IsExactType(want) {
		return nil, &CompileError{Program: name, Cause: "expression has type " + ast.OutputType().String() + ", not " + want.String()}
	}
	program, err := env.Program(ast, cel.CostLimit(maxEvalCost), cel.EvalOptions(cel.OptOptimize))
	if err != nil {
		return nil, &CompileError{Program: name, Cause: err.Error()}
	}
	return program, nil
}

// Decide evaluates the decision expression.
func (p *Program) Decide(in *Input) (Verdict, error) {
	out, _, err := p.decide.Eval(programVariables(in))
	if err != nil {
		return Wait, &EvalError{Cause: err}
	}
	text, _ := out.Value().(string)
	verdict := Verdict(text)
	if verdict != Run && verdict != Wait && verdict != Refuse {
		return Wait, &EvalError{Cause: errors.Errorf("invalid verdict %q; want run, wait or refuse", text)}
	}
	return verdict, nil
}

// Rank evaluates the rank expression; requests with a lower rank run first.
func (p *Program) Rank(in *Input) (float64, error) {
	if p.rank == nil {
		return float64(in.TierRank), nil
	}
	out, _, err := p.rank.Eval(programVariables(in))
	if err != nil {
		return float64(in.TierRank), &EvalError{Cause: err}
	}
	rank, _ := out.Value().(float64)
	return rank, nil
}

func programVariables(in *Input) map[string]any {
	return map[string]any{"request": in}
}
