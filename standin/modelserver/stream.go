package modelserver

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/redwingnotch/redwingnotch/platform"
)

// breakWay is how a stream breaks.
type breakWay int

const (
	breakStalls  breakWay   = iota // nothing more comes
	breakEnds                      // the response ends properly in the middle of an event
	breakCut                       // its connection is closed
	breakWays                      // number of ways
	unframedWays = breakCut        // a cut stream without framing looks complete
)

// streamBreak says where and how a stream breaks.
type streamBreak struct {
	event int // number of the event; zero if the stream does not break
	way   breakWay
}

// drawBreak draws whether and how a stream of events breaks after the last one that the caller has.
func (s *Server) drawBreak(last, events int) streamBreak {
	s.mu.Lock()
	defer s.mu.Unlock()
	if last >= events || s.draws.Float64() >= s.config.Breaks {
		return streamBreak{}
	}
	ways := breakWays
	if s.config.Unframed {
		ways = unframedWays
	}
	return streamBreak{event: last + 1 + s.draws.IntN(events-last), way: breakWay(s.draws.IntN(int(ways)))}
}

// serveStream sends the events that follow the last one that the caller has. Each is sent in two
// parts, so that a server that crashes or breaks the stream may stop in the middle of an event.
func (s *Server) serveStream(w http.ResponseWriter, r *http.Request, events int, e Event) {
	w.Header().Set("Content-Type", "text/event-stream")
	if s.config.Unframed {
		w.Header().Set("Transfer-Encoding", "identity") // net/http sends no chunks then, and closes the connection
	}
	last, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEventID)) // zero if there is none
	breaks := s.drawBreak(last, events)
	flush := http.NewResponseController(w)
	pause := s.config.FirstEvent
	for e.Number = last + 1; e.Number <= events; e.Number++ {
		data, err := json.Marshal(e)
		if err != nil {
			panic(err) // texts and numbers can't fail
		}
		text := fmt.Sprintf("id: %d\ndata: %s\n\n", e.Number, data)
		cut := len(text) * (e.Number%5 + 1) / 6
		for i, part := range []string{text[:cut], text[cut:]} {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(pause / 2):
			}
			if i == 1 && e.Number == breaks.event {
				breaks.end(r)
				return
			}
			if _, err := io.WriteString(w, part); err != nil || flush.Flush() != nil {
				return
			}
		}
		pause = s.config.Gap
	}
}

// end breaks the response; the caller returns then.
func (b streamBreak) end(r *http.Request) {
	switch b.way {
	case breakStalls:
		<-r.Context().Done()
	case breakCut:
		panic(http.ErrAbortHandler)
	}
}
