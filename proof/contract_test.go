package proof_test

import (
	"context"
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"

	"dillsaddle.example/dillsaddle/proof"
	"dillsaddle.example/dillsaddle/standin"
)

var _ = Describe("the callers' contract", Ordered, func() {
	var fleet *proof.Fleet

	BeforeAll(func() {
		f, err := proof.Start(programs, proof.DefaultShape())
		Expect(err).NotTo(HaveOccurred())
		fleet = f
		DeferCleanup(f.Close)
	})

	starts := func() int {
		total := 0
		for _, r := range fleet.Records() {
			total += len(r.Starts)
		}
		return total
	}

	call := func(method, path, key, body string, headers map[string]string) (int, map[string]string, string) {
		all := map[string]string{}
		if key != "" {
			all["Authorization"] = "Bearer " + key
		}
		for name, value := range headers {
			all[name] = value
		}
		status, answered, text, err := fleet.Exchange(method, fleet.Entry(0), path, all, []byte(body))
		Expect(err).NotTo(HaveOccurred())
		return status, answered, string(text)
	}

	DescribeTable("refuses bad input, with nothing sent to an endpoint",
		func(path, key, body string, status int, code string) {
			before := starts()
			got, headers, text := call("POST", path, key, body, nil)
			Expect(got).To(Equal(status), text)
			Expect(headers["Dillsaddle-Outcome"]).To(Equal("not-run"))
			Expect(text).To(ContainSubstring(`"code":"` + code + `"`))
			Expect(starts()).To(Equal(before))
		},
		Entry("bad JSON", "/v1/completions", proof.Key, `{"model":`, 400, "invalid_json"),
		Entry("wrong type", "/v1/completions", proof.Key, `{"model":3,"prompt":"x"}`, 400, "invalid_type"),
		Entry("wrong type inside", "/v1/chat/completions", proof.Key, `{"model":"model-1","messages":"x"}`, 400, "invalid_type"),
		Entry("a prompt of the wrong type", "/v1/completions", proof.Key, `{"model":"model-1","prompt":7}`, 400, "invalid_type"),
		Entry("no prompt", "/v1/completions", proof.Key, `{"model":"model-1"}`, 400, "missing_prompt"),
		Entry("no messages", "/v1/chat/completions", proof.Key, `{"model":"model-1"}`, 400, "missing_messages"),
		Entry("no model", "/v1/completions", proof.Key, `{"prompt":"x"}`, 400, "missing_model"),
		Entry("unknown model", "/v1/completions", proof.Key, `{"model":"none","prompt":"x"}`, 404, "model_not_found"),
		Entry("too many tokens", "/v1/completions", proof.Key, `{"model":"model-1","prompt":"x","max_tokens":99999999}`, 400, "invalid_max_tokens"),
		Entry("several answers", "/v1/completions", proof.Key, `{"model":"model-1","prompt":"x","n":2}`, 400, "unsupported_n"),
		Entry("wrong key", "/v1/completions", "wrong", `{"model":"model-1","prompt":"x"}`, 401, "invalid_api_key"),
		Entry("no key", "/v1/completions", "", `{"model":"model-1","prompt":"x"}`, 401, "invalid_api_key"),
		Entry("oversized body", "/v1/completions", proof.Key, `{"model":"model-1","prompt":"`+strings.Repeat("x", 2<<20)+`"}`, 413, "body_too_large"),
		Entry("body beyond what the library reads", "/v1/completions", proof.Key, `{"model":"model-1","prompt":"`+strings.Repeat("x", 20<<20)+`"}`, 413, "body_too_large"),
		Entry("unknown path", "/v1/other", proof.Key, `{}`, 404, "unknown_path"),
		Entry("unknown service", "/v1/services/none/x", proof.Key, `{}`, 404, "service_not_found"),
	)

	It("gives an OpenAI client its stream, every token once and in order", func() {
		c := openai.NewClient(option.WithAPIKey(proof.Key), option.WithBaseURL("http://"+fleet.Entry(1).String()+"/v1"))
		stream := c.Chat.Completions.NewStreaming(context.Background(), openai.ChatCompletionNewParams{
			Model:    proof.Model,
			Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
			StreamOptions: openai.ChatCompletionStreamOptionsParam{
				IncludeUsage: openai.Bool(true),
			},
		})
		var whole openai.ChatCompletionAccumulator
		for stream.Next() {
			whole.AddChunk(stream.Current())
		}
		Expect(stream.Err()).NotTo(HaveOccurred())
		Expect(whole.Choices).To(HaveLen(1))
		words := strings.Fields(whole.Choices[0].Message.Content)
		Expect(words).To(HaveLen(int(whole.Usage.CompletionTokens)))
		tag := standin.GenerationTag(whole.ID)
		for n, word := range words {
			Expect(word).To(Equal(fmt.Sprintf("%s.%d", tag, n)))
		}
	})

	It("gives an OpenAI client a whole answer", func() {
		c := openai.NewClient(option.WithAPIKey(proof.Key), option.WithBaseURL("http://"+fleet.Entry(2).String()+"/v1"))
		answer, err := c.Completions.New(context.Background(), openai.CompletionNewParams{
			Model:     proof.Model,
			Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String("hello")},
			MaxTokens: openai.Int(7),
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Fields(answer.Choices[0].Text)).To(HaveLen(7))
		Expect(answer.Usage.CompletionTokens).To(BeEquivalentTo(7))
	})

	It("continues a stream on another box after its last event, and after its end", func() {
		ctx, cancel := context.WithCancel(context.Background())
		s, _ := fleet.ReadStream(proof.WithFirstToken(ctx, cancel), 0, nil)
		Expect(s.Whole()).To(BeFalse())
		Expect(len(s.Tokens)).To(BeNumerically(">", 0))
		Expect(fleet.Continue(context.Background(), s, 1)).To(Succeed())
		Expect(s.Whole()).To(BeTrue(), s.Body)
		Expect(s.Check(fleet.Records())).To(Succeed())
		again := *s
		Expect(fleet.Continue(context.Background(), &again, 2)).To(Succeed())
		Expect(again.Whole()).To(BeTrue(), again.Body)
		Expect(again.Tokens).To(Equal(s.Tokens))
	})

	It("refuses a stream id that this fleet didn't make, and a foreign event id", func() {
		status, headers, _ := call("GET", "/v1/streams/AAAAAAAAAAAAAAAAAAAAAAAA", proof.Key, "", nil)
		Expect(status).To(Equal(404))
		Expect(headers["Dillsaddle-Outcome"]).To(Equal("not-run"))
		s, err := fleet.ReadStream(context.Background(), 0, nil)
		Expect(err).NotTo(HaveOccurred())
		status, _, text := call("GET", "/v1/streams/"+s.ID, proof.Key, "", map[string]string{"Last-Event-ID": "another.3"})
		Expect(status).To(Equal(400), text)
	})

	It("cancels a stream from another box at its engine", func() {
		ended := make(chan *proof.Stream)
		opened := make(chan string, 1)
		go func() {
			ctx := proof.WithID(context.Background(), opened)
			s, _ := fleet.ReadStream(ctx, 0, nil)
			ended <- s
		}()
		id := <-opened
		status, _, text := call("DELETE", "/v1/streams/"+id, proof.Key, "", nil)
		Expect(status).To(Equal(200), text)
		s := <-ended
		Expect(s.Whole()).To(BeFalse())
		Expect(s.Code).To(BeElementOf("cancelled", "generation_lost"))
	})

	It("answers a service's call and hands its outcome on", func() {
		status, headers, text := call("GET", "/v1/services/records/stations/17?year=2026", proof.Key, "", nil)
		Expect(status).To(Equal(200))
		Expect(headers["Dillsaddle-Outcome"]).To(Equal("ran"))
		Expect(text).To(ContainSubstring("GET /stations/17"))
	})

	It("runs a keyed generation once and names its stream to a repeat", func() {
		headers := map[string]string{"Dillsaddle-Repeatable": "false", "Idempotency-Key": "summary-1"}
		s, err := fleet.ReadStream(context.Background(), 0, headers)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Whole()).To(BeTrue(), s.Body)
		before := starts()
		status, answered, text := call("POST", "/v1/completions", proof.Key, `{"model":"model-1","prompt":"x"}`, headers)
		Expect(status).To(Equal(409), text)
		Expect(answered["Dillsaddle-Outcome"]).To(Equal("ran"))
		Expect(answered["Dillsaddle-Request"]).To(Equal(s.ID))
		Expect(starts()).To(Equal(before))
	})

	It("shows operators metrics by customer and class, health and readiness", func() {
		_, _, text, err := fleet.Exchange("GET", fleet.Admin(1), "/metrics", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		for _, name := range []string{"first_token_seconds", "between_tokens_seconds", "stall_seconds", "waiting_seconds"} {
			Expect(string(text)).To(ContainSubstring("dillsaddle_" + name + `_count{customer="customer-1",class="standard"}`))
		}
		for _, path := range []string{"/healthz", "/readyz"} {
			status, _, _, err := fleet.Exchange("GET", fleet.Admin(1), path, nil, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(200))
		}
	})
})
