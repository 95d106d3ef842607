package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/http"

	"dillsaddle.example/dillsaddle/config"
)

// completionBody holds the fields of a completion request that the entry reads. The body is
// forwarded to the endpoint unchanged.
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

// rawPrompt holds the raw prompt, whose first bytes identify its cached prefix.
type rawPrompt struct {
	Prompt   json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
}

// parsedRequest is a validated completion request.
type parsedRequest struct {
	body         []byte
	model        string
	isChat       bool
	isStreaming  bool
	includeUsage bool
	maxTokens    int
	promptTokens int    // estimate
	prefix       uint64 // hash of the first bytes of the prompt
	modelConfig  *config.Model
}

// bytesPerToken is a rough average used to estimate the prompt's length in tokens.
const bytesPerToken = 4

// prefixBytes is how much of the prompt's start is hashed to identify its cached prefix.
const prefixBytes = 64

func parseCompletion(d *config.Document, body []byte, isChat bool) (*parsedRequest, *Problem) {
	var b completionBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, jsonProblem(err)
	}
	p := &parsedRequest{
		body:         body,
		model:        b.Model,
		isChat:       isChat,
		isStreaming:  b.Stream,
		includeUsage: b.StreamOptions.IncludeUsage,
	}
	if problem := p.checkText(&b); problem != nil {
		return nil, problem
	}
	if problem := p.checkModel(d, &b); problem != nil {
		return nil, problem
	}
	p.estimatePrompt()
	return p, nil
}

func jsonProblem(err error) *Problem {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return newRejection(http.StatusBadRequest, "invalid_type",
			fmt.Sprintf("field %q can't be a %s; correct its type as docs/API.md says", typeErr.Field, typeErr.Value))
	}
	return newRejection(http.StatusBadRequest, "invalid_json", "the body is not JSON ("+err.Error()+"); send one JSON object")
}

func (p *parsedRequest) checkText(b *completionBody) *Problem {
	if p.isChat {
		return checkMessages(b.Messages)
	}
	if len(b.Prompt) == 0 || string(b.Prompt) == "null" {
		return newRejection(http.StatusBadRequest, "missing_prompt", `the field "prompt" is missing; send the text to complete`)
	}
	if first := b.Prompt[0]; first != '"' && first != '[' {
		return newRejection(http.StatusBadRequest, "invalid_type", `the field "prompt" is neither a string nor a list; send the text to complete`)
	}
	return nil
}

func checkMessages(messages []chatMessage) *Problem {
	if len(messages) == 0 {
		return newRejection(http.StatusBadRequest, "missing_messages", `the field "messages" is missing or empty; send one message or more`)
	}
	for i, m := range messages {
		if m.Role == "" {
			return newRejection(http.StatusBadRequest, "missing_role", fmt.Sprintf(`message %d has no "role"; give user, assistant or system`, i))
		}
	}
	return nil
}

func (p *parsedRequest) checkModel(d *config.Document, b *completionBody) *Problem {
	if b.Model == "" {
		return newRejection(http.StatusBadRequest, "missing_model", `the field "model" is missing; GET /v1/models lists the models`)
	}
	p.modelConfig = d.Model(b.Model)
	if p.modelConfig == nil {
		return newRejection(http.StatusNotFound, "model_not_found", fmt.Sprintf("no model is named %q; GET /v1/models lists the models", b.Model))
	}
	if b.Choices != nil && *b.Choices != 1 {
		return newRejection(http.StatusBadRequest, "unsupported_n", `the field "n" must be 1; send one request for each answer`)
	}
	p.maxTokens = p.modelConfig.MaxTokens
	for _, requested := range []*int{b.MaxTokens, b.MaxCompletionTokens} {
		if requested == nil {
			continue
		}
		if *requested < 1 || *requested > p.modelConfig.MaxTokens {
			return newRejection(http.StatusBadRequest, "invalid_max_tokens",
				fmt.Sprintf("max_tokens is %d; send a number from 1 to %d", *requested, p.modelConfig.MaxTokens))
		}
		p.maxTokens = *requested
	}
	return nil
}

func (p *parsedRequest) estimatePrompt() {
	var raw rawPrompt
	_ = json.Unmarshal(p.body, &raw)
	text := string(raw.Prompt) + string(raw.Messages)
	p.promptTokens = 1 + len(text)/bytesPerToken
	h := fnv.New64a()
	_, _ = h.Write([]byte(text[:min(len(text), prefixBytes)]))
	p.prefix = h.Sum64()
}
