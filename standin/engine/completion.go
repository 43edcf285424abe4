package engine

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// bytesPerToken is the number of bytes of prompt text that count as one token.
const bytesPerToken = 4

// chatBody holds the fields of a chat-completions request that the engine reads.
type chatBody struct {
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens int `json:"max_tokens"`
}

// prompt is the parsed body of an inference request.
type prompt struct {
	text      string // roles and contents of all messages
	tokens    int    // tokens in text
	maxTokens int    // tokens to generate
}

func parsePrompt(body []byte) (prompt, error) {
	var chat chatBody
	if err := json.Unmarshal(body, &chat); err != nil {
		return prompt{}, fmt.Errorf("malformed body: %w", err)
	}
	if chat.MaxTokens < 0 {
		return prompt{}, fmt.Errorf("max_tokens is %d, must be at least 0", chat.MaxTokens)
	}
	var text strings.Builder
	for _, m := range chat.Messages {
		text.WriteString(m.Role)
		text.WriteByte('\n')
		text.WriteString(m.Content)
		text.WriteByte('\n')
	}
	p := prompt{text: text.String(), maxTokens: chat.MaxTokens}
	p.tokens = (len(p.text) + bytesPerToken - 1) / bytesPerToken
	if p.maxTokens == 0 {
		p.maxTokens = DefaultMaxTokens
	}
	return p, nil
}

// token returns the i-th generated token. It depends only on the target, the
// prompt and i, so that a resumed request continues with the same tokens.
func (p prompt) token(target fleet.Target, i int) string {
	sum := xxhash.Sum64String(target.String() + "\n" + p.text + strconv.Itoa(i))
	return fmt.Sprintf("%04x ", sum&0xffff)
}

// ExpectedText returns the full text that every engine generates for a chat-completions
// request, so that tests can check responses. It fails if the body is malformed.
func ExpectedText(target fleet.Target, body []byte) (string, error) {
	p, err := parsePrompt(body)
	if err != nil {
		return "", err
	}
	return p.completionText(target, 0), nil
}

// completionText returns the generated text, starting with token number from.
func (p prompt) completionText(target fleet.Target, from int) string {
	var text strings.Builder
	for i := from; i < p.maxTokens; i++ {
		text.WriteString(p.token(target, i))
	}
	return text.String()
}

// chunkBody is the JSON body of a chat-completions chunk or full response.
type chunkBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index   int      `json:"index"`
	Delta   *message `json:"delta,omitempty"`
	Message *message `json:"message,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

func chunkJSON(requestID string, target fleet.Target, token string) []byte {
	return encode(chunkBody{
		ID:      requestID,
		Object:  "chat.completion.chunk",
		Model:   target.String(),
		Choices: []choice{{Delta: &message{Content: token}}},
	})
}

func completionJSON(requestID string, target fleet.Target, p prompt) []byte {
	finish := "stop"
	return encode(chunkBody{
		ID:      requestID,
		Object:  "chat.completion",
		Model:   target.String(),
		Choices: []choice{{Message: &message{Role: "assistant", Content: p.completionText(target, 0)}, Finish: &finish}},
		Usage:   &usage{PromptTokens: p.tokens, CompletionTokens: p.maxTokens},
	})
}

func encode(body any) []byte {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // encoding a chunkBody can't fail
	}
	return data
}
