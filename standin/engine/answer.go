package engine

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// bytesPerToken is the length of prompt text that counts as one token.
const bytesPerToken = 4

// chatBody is the part of a chat-completions body that the engine reads.
type chatBody struct {
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens int `json:"max_tokens"`
}

// prompt is a request's content.
type prompt struct {
	text      string
	tokens    int
	maxTokens int
}

func parsePrompt(body []byte) (prompt, error) {
	var chat chatBody
	if err := json.Unmarshal(body, &chat); err != nil {
		return prompt{}, fmt.Errorf("malformed body: %w", err)
	}
	if chat.MaxTokens < 0 {
		return prompt{}, fmt.Errorf("max_tokens is %d, want at least 0", chat.MaxTokens)
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
		p.maxTokens = DefaultAnswerTokens
	}
	return p, nil
}

// token returns the i-th token of the answer to the prompt.
func (p prompt) token(target fleet.Target, i int) string {
	hash := xxhash.Sum64String(target.String() + "\n" + p.text + strconv.Itoa(i))
	return fmt.Sprintf("%04x ", hash&0xffff)
}

// Answer returns the whole text that any engine answers to a chat-completions
// body, so that a caller's answer can be checked.
func Answer(target fleet.Target, body []byte) (string, error) {
	p, err := parsePrompt(body)
	if err != nil {
		return "", err
	}
	return p.answer(target, 0), nil
}

func (p prompt) answer(target fleet.Target, from int) string {
	var text strings.Builder
	for i := from; i < p.maxTokens; i++ {
		text.WriteString(p.token(target, i))
	}
	return text.String()
}

// chunkBody is a chat-completions chunk or whole answer.
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

func wholeJSON(requestID string, target fleet.Target, p prompt) []byte {
	finish := "stop"
	return encode(chunkBody{
		ID:      requestID,
		Object:  "chat.completion",
		Model:   target.String(),
		Choices: []choice{{Message: &message{Role: "assistant", Content: p.answer(target, 0)}, Finish: &finish}},
		Usage:   &usage{PromptTokens: p.tokens, CompletionTokens: p.maxTokens},
	})
}

func encode(body any) []byte {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // the bodies above always encode
	}
	return data
}
