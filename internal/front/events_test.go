package front

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/bytebudget"
)

// TestEventReaderCutsStreamIntoEvents guards against events that are not recognized,
// and so are delivered late or taken for an incomplete event: all ends of lines, with
// the bytes arriving together or one by one.
func TestEventReaderCutsStreamIntoEvents(t *testing.T) {
	for _, newline := range []string{"\n", "\r", "\r\n"} {
		events := []string{"id: 1\ndata: a\n\n", ": comment\n\n", "\n", "data: b\nid:2\nx\n\n", "id\ndata: c\n\n"}
		ids := []string{"1", "", "", "2", ""}
		for _, rest := range []string{"", ": comment\n", "data"} {
			t.Run(fmt.Sprintf("%q, rest %q", newline, rest), func(t *testing.T) {
				text := strings.ReplaceAll(strings.Join(events, "")+rest, "\n", newline)
				for _, source := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
					reader := &eventReader{r: bufio.NewReader(source), held: bytebudget.New(1 << 20).Hold()}
					var got strings.Builder
					for i := range events {
						event, id, err := reader.next()
						assert.NilError(t, err)
						assert.Equal(t, strings.Trim(string(event), "\r\n"), strings.Trim(strings.ReplaceAll(events[i], "\n", newline), "\r\n"))
						assert.Equal(t, id, ids[i])
						got.Write(event)
					}
					event, _, err := reader.next()
					got.Write(event)
					assert.Assert(t, errors.Is(err, io.EOF))
					assert.Equal(t, got.String(), text)
					assert.Equal(t, holdsEvent(event), rest == "data")
				}
			})
		}
	}
}

// TestHoldsEventRecognizesIncompleteEvent guards against a broken-off event that counts
// as the end of its stream.
func TestHoldsEventRecognizesIncompleteEvent(t *testing.T) {
	for rest, want := range map[string]bool{
		"": false, "\n": false, "\r\n": false, ": comment\n": false, ":\r: x\r\n": false,
		":": true, ": comm": true, "d": true, "data: x": true, "data: x\n": true, "id: 4\r\n": true, ": x\ndata: y\n": true,
	} {
		assert.Equal(t, holdsEvent([]byte(rest)), want, "%q", rest)
	}
}

// TestEventIDIsThatOfCallerAndHeader guards against an ID that the caller and the server see
// differently: events that are resumed after another one than the caller has come twice or are lost.
func TestEventIDIsThatOfCallerAndHeader(t *testing.T) {
	for text, want := range map[string]string{
		"id: 4": "4", "id:4": "4", "id:  4": "", "id: 4 ": "", "id:": "", "id": "", "id: 4\nid": "", "id: 4\nid: 5": "5",
		"id: 4\nID: 5": "4", "id: 4\nid : 5": "4", ":id: 4": "", ": x\nid: 4": "4", "data: id: 4": "", "id: a b": "a b", "id: \u00fc": "\u00fc",
		"id: 4\x00": "", "id: 4\nid: 5\x00": "", "id: 4\x01": "", "id: 4\x7f": "", "redwingnotch-weight-versions: 2\nid: 4": "4", "\ufeffid: 4": "",
		"id: " + strings.Repeat("4", maxEventIDBytes+1): "",
	} {
		reader := &eventReader{r: bufio.NewReader(strings.NewReader(text + "\n\n")), held: bytebudget.New(1 << 20).Hold()}
		_, id, err := reader.next()
		assert.NilError(t, err)
		assert.Equal(t, id, want, "%q", text)
	}
}

// TestFollowsComparesNumbersOfAnySize guards against an event that comes twice because its ID is
// written otherwise or is too large for a machine word.
func TestFollowsComparesNumbersOfAnySize(t *testing.T) {
	const large, larger = "18446744073709551616", "18446744073709551617"
	for _, tc := range []struct {
		id, last string
		want     bool
	}{
		{"4", "", true}, {"4", "3", true}, {"3", "3", false}, {"2", "3", false}, {"10", "9", true}, {"9", "10", false},
		{"03", "3", false}, {"04", "3", true}, {"0", "", true}, {"0", "0", false}, {"00", "0", false},
		{larger, large, true}, {large, large, false}, {large, larger, false}, {"0" + large, large, false}, {"7", large, false},
		{"b", "a", true}, {"a", "b", true}, {"a", "a", false}, {"4", "a", true}, {"-1", "1", true},
	} {
		assert.Equal(t, follows(tc.id, tc.last), tc.want, "%+v", tc)
	}
}
