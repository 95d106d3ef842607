package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/http"

	"dillsaddle.example/dillsaddle/config"
)

// completionBody is the part of a caller's request that the entry reads; the
// rest passes to the endpoint unchanged.
type completionBody struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	Choices             *int            `json:"n"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// rawPrompt is the text whose start the endpoints cache.
type rawPrompt struct {
	Prompt   json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
}

// parsed is a checked request.
type parsed struct {
	body      []byte
	model     string
	chat      bool
	stream    bool
	usage     bool
	most      int
	prompt    int
	prefix    uint64
	modelSpec *config.Model
}

// charactersPerToken is the rough size of a token before an endpoint counts.
const charactersPerToken = 4

// prefixBytes is how much of a prompt's start names its cached prefix.
const prefixBytes = 64

func parseCompletion(d *config.Document, body []byte, chat bool) (*parsed, *Problem) {
	var b completionBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, badJSON(err)
	}
	p := &parsed{
		body:   body,
		model:  b.Model,
		chat:   chat,
		stream: b.Stream,
		usage:  b.StreamOptions.IncludeUsage,
	}
	if problem := p.checkText(&b); problem != nil {
		return nil, problem
	}
	if problem := p.checkModel(d, &b); problem != nil {
		return nil, problem
	}
	p.measure()
	return p, nil
}

func badJSON(err error) *Problem {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return invalid(http.StatusBadRequest, "invalid_type",
			fmt.Sprintf("field %q can't be a %s; correct its type as docs/API.md says", wrong.Field, wrong.Value))
	}
	return invalid(http.StatusBadRequest, "invalid_json", "the body is not JSON ("+err.Error()+"); send one JSON object")
}

func (p *parsed) checkText(b *completionBody) *Problem {
	if p.chat {
		return checkMessages(b.Messages)
	}
	if len(b.Prompt) == 0 || string(b.Prompt) == "null" {
		return invalid(http.StatusBadRequest, "missing_prompt", `the field "prompt" is missing; send the text to complete`)
	}
	if first := b.Prompt[0]; first != '"' && first != '[' {
		return invalid(http.StatusBadRequest, "invalid_type", `the field "prompt" is neither a string nor a list; send the text to complete`)
	}
	return nil
}

func checkMessages(messages []chatMessage) *Problem {
	if len(messages) == 0 {
		return invalid(http.StatusBadRequest, "missing_messages", `the field "messages" is missing or empty; send one message or more`)
	}
	for i, m := range messages {
		if m.Role == "" {
			return invalid(http.StatusBadRequest, "missing_role", fmt.Sprintf(`message %d has no "role"; give user, assistant or system`, i))
		}
	}
	return nil
}

func (p *parsed) checkModel(d *config.Document, b *completionBody) *Problem {
	if b.Model == "" {
		return invalid(http.StatusBadRequest, "missing_model", `the field "model" is missing; GET /v1/models lists the models`)
	}
	p.modelSpec = d.Model(b.Model)
	if p.modelSpec == nil {
		return invalid(http.StatusNotFound, "model_not_found", fmt.Sprintf("no model is named %q; GET /v1/models lists the models", b.Model))
	}
	if b.Choices != nil && *b.Choices != 1 {
		return invalid(http.StatusBadRequest, "unsupported_n", `the field "n" must be 1; send one request for each answer`)
	}
	p.most = p.modelSpec.MaxTokens
	for _, wanted := range []*int{b.MaxTokens, b.MaxCompletionTokens} {
		if wanted == nil {
			continue
		}
		if *wanted < 1 || *wanted > p.modelSpec.MaxTokens {
			return invalid(http.StatusBadRequest, "invalid_max_tokens",
				fmt.Sprintf("max_tokens is %d; send a number from 1 to %d", *wanted, p.modelSpec.MaxTokens))
		}
		p.most = *wanted
	}
	return nil
}

func (p *parsed) measure() {
	var raw rawPrompt
	_ = json.Unmarshal(p.body, &raw)
	text := string(raw.Prompt) + string(raw.Messages)
	p.prompt = 1 + len(text)/charactersPerToken
	h := fnv.New64a()
	_, _ = h.Write([]byte(text[:min(len(text), prefixBytes)]))
	p.prefix = h.Sum64()
}
