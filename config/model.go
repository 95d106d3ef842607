package config

// Model is a language model that callers can request.
type Model struct {
	Name         string
	MaxTokens    int // upper bound of a request's max_tokens
	ExpectTokens int // expected output length before lengths have been observed
	line         int
}

func parseModel(o *jsonObject) Model {
	m := Model{
		MaxTokens:    32768,
		ExpectTokens: 256,
		line:         o.r.line(o.offset),
	}
	o.readName(&m.Name)
	o.readInt("max_tokens", &m.MaxTokens, 1, 1000000)
	o.readInt("expect_tokens", &m.ExpectTokens, 1, 1000000)
	return m
}
