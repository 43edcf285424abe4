package front

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/resumption"
	"github.com/redwingnotch/redwingnotch/routes"
)

// Times of the records of streams.
const (
	streamReturnSlack  = time.Second            // time after a caller's time limit in which it may still arrive
	maxStreamRecordAge = 10 * time.Minute       // longest time for which a stream is remembered
	streamAskTimeout   = 150 * time.Millisecond // wait for the nodes that are asked for a stream
	streamAskRepeat    = 50 * time.Millisecond  // time after which those that have not answered are asked again
	lapseHeartbeats    = 3                      // heartbeats that a server misses before its entry is removed
	maxSeenTold        = 2                      // versions named in an answer; two show that there is not only one
)

// Reasons for refusing a stream that is taken up.
const (
	reasonOriginUnknown = "stream_origin_unknown" // nothing tells which servers began it
	reasonServiceLeft   = "stream_service_left"   // its route no longer leads to the service that began it
)

// streamMessage is what one node tells another about the origins of streams, in a datagram of
// its own. Builds before it drop such a datagram.
type streamMessage struct {
	IP       string          `json:"a"` // IP of the sender
	Began    *streamState    `json:"b,omitempty"`
	Question *streamQuestion `json:"q,omitempty"`
	Answer   *streamAnswer   `json:"w,omitempty"`
}

// streamDatagram is the encoded form of a streamMessage.
type streamDatagram struct {
	Streams *streamMessage `json:"streams"`
}

// streamDatagramPrefix begins each streamDatagram, and no message.
var streamDatagramPrefix = []byte(`{"streams":`)

// streamState is the encoded form of a resumption.Record.
type streamState struct {
	ID       string `json:"i"`
	Service  string `json:"s"`
	Software string `json:"v"`
	LeftMS   int64  `json:"l"` // milliseconds until it expires
}

// streamQuestion asks for the origin of a stream.
type streamQuestion struct {
	Key     uint64 `json:"k"`           // identifies the question at the sender
	ID      string `json:"i,omitempty"` // of the stream; empty if its caller does not name it
	Service string `json:"s"`
}

// streamAnswer is the encoded form of a resumption.Answer.
type streamAnswer struct {
	Key   uint64       `json:"k"`           // of the question
	Known *streamState `json:"y,omitempty"` // the record, if there is one
	Only  string       `json:"o,omitempty"` // only version that the service has had; empty if there may be others
	Seen  []string     `json:"s,omitempty"` // versions that the service has had, maxSeenTold at most; missing from builds that do not tell
}

// receivedAnswer is an answer and the node that gave it.
type receivedAnswer struct {
	from string
	streamAnswer
}

// rememberOrigin records that a stream begins at the server, here and at the nodes that hold its
// record. Call it before the first event is passed on: this node may end right after that.
func (x *exchange) rememberOrigin(server replicas.Entry) {
	if !x.route.Resumable || x.params.LastEventID != "" {
		return
	}
	n, now := x.node, bootclock.Now()
	r := resumption.Record{ID: x.params.ID, Origin: resumption.Origin{Service: x.service, Software: server.Software}, Expires: x.callerReturnsUntil()}
	n.mu.Lock()
	n.streams.Add(now, r)
	holders := resumption.HoldersOf(r.ID, n.peers.aliveIPs(now), resumption.Holders)
	n.mu.Unlock()
	n.sendStreams(holders, streamMessage{Began: encodeRecord(now, r)})
}

// callerReturnsUntil returns until when the caller may take its stream up again.
func (x *exchange) callerReturnsUntil() time.Time {
	limit := x.params.TimeLimit
	if limit == 0 {
		limit = max(defaultTimeLimit, x.route.Timeout)
	}
	return x.arrived.Add(min(limit+streamReturnSlack, maxStreamRecordAge))
}

// encodeRecord returns the encoded form of a record.
func encodeRecord(now time.Time, r resumption.Record) *streamState {
	return &streamState{ID: r.ID, Service: r.Origin.Service, Software: r.Origin.Software, LeftMS: r.Expires.Sub(now).Milliseconds()}
}

// decode returns the record.
func (s *streamState) decode(now time.Time) resumption.Record {
	left := min(time.Duration(s.LeftMS)*time.Millisecond, maxStreamRecordAge)
	return resumption.Record{ID: s.ID, Origin: resumption.Origin{Service: s.Service, Software: s.Software}, Expires: now.Add(left)}
}

// bindToOrigin binds a stream that its caller takes up again to the version of the servers'
// software that began it. If that is unknown, it refuses the request and returns false.
func (x *exchange) bindToOrigin(ctx context.Context) bool {
	if x.params.LastEventID == "" || x.route.Kind != routes.Streaming {
		return true
	}
	began := bootclock.Now()
	origin, source, age := x.node.originOf(ctx, x.params.Resumes, x.service)
	refused := ""
	switch {
	case ctx.Err() != nil:
		x.waitEnded()
		return false
	case source == resumption.Unknown:
		refused = reasonOriginUnknown
	case !x.route.HasService(origin.Service):
		refused = reasonServiceLeft
	}
	level.Info(x.node.log).Log("event", "stream_resumption", "id", x.params.ID, "resumes", x.params.Resumes, "service", origin.Service,
		"software", origin.Software, "source", source, "age_ms", age.Milliseconds(), "took_ms", bootclock.Now().Sub(began).Milliseconds(), "refused", refused)
	x.node.metrics.StreamResumption(string(source), refused)
	if refused != "" {
		x.refuse(refused, 0)
		return false
	}
	x.service, x.software = origin.Service, &origin.Software
	x.node.keepOrigin(x.params.Resumes, origin, x.callerReturnsUntil())
	return true
}

// keepOrigin remembers the origin of a stream that is taken up here, as its caller may come back.
func (n *Node) keepOrigin(id string, origin resumption.Origin, until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.streams.Add(bootclock.Now(), resumption.Record{ID: id, Origin: origin, Expires: until})
}

// originOf returns the origin of a stream of the service, how it is known, and for how long the
// node that knows it has known it. id is empty if the caller does not name the stream.
func (n *Node) originOf(ctx context.Context, id, service string) (resumption.Origin, resumption.Source, time.Duration) {
	now := bootclock.Now()
	n.mu.Lock()
	if r, found := n.streams.Find(now, id); found {
		n.mu.Unlock()
		return r.Origin, resumption.OwnRecord, now.Sub(r.Learned)
	}
	own := n.viewOf(now, service)
	asked, hasPeers := resumption.HoldersOf(id, n.peers.aliveIPs(now), resumption.Asked), n.peers.anyLately(now)
	n.mu.Unlock()
	var answers []resumption.Answer
	for _, a := range n.askStreams(ctx, asked, streamQuestion{ID: id, Service: service}) {
		answer := resumption.Answer{Origin: resumption.Origin{Service: service, Software: a.Only}, Seen: a.Seen}
		if a.Known != nil && a.Known.ID == id {
			answer = resumption.Answer{Known: true, Origin: a.Known.decode(now).Origin}
		}
		answers = append(answers, answer)
	}
	origin, source := resumption.Conclude(service, own, hasPeers, answers)
	return origin, source, bootclock.Now().Sub(now)
}

// viewOf returns what this node knows of the versions of the software of the service's servers, for
// as long as a stream can last. The caller holds n.mu.
func (n *Node) viewOf(now time.Time, service string) resumption.Answer {
	life := n.longestStream(now)
	view := resumption.Answer{Origin: resumption.Origin{Service: service}, Seen: n.table.Softwares(now, service, life)}
	if len(view.Seen) == 1 && n.serversFollowed.Covers(now, life, n.settings.Bounds.DrainTimeout) {
		view.Origin.Software = view.Seen[0]
	}
	return view
}

// longestStream returns how long a stream can last, over all attempts of its caller. The caller
// holds n.mu.
func (n *Node) longestStream(now time.Time) time.Duration {
	longest := defaultTimeLimit
	if t := n.desired.Load(); t != nil {
		for i := range t.Routes {
			if t.Routes[i].Kind == routes.Streaming {
				longest = max(longest, t.Routes[i].Timeout)
			}
		}
	}
	return max(longest+streamReturnSlack, n.streams.LongestLife(now))
}

// askStreams asks the nodes and returns their answers, up to the first that knows the stream.
func (n *Node) askStreams(ctx context.Context, nodes []string, q streamQuestion) map[string]streamAnswer {
	answers := map[string]streamAnswer{}
	if len(nodes) == 0 {
		return answers
	}
	received := make(chan receivedAnswer, 2*len(nodes)) // each may answer both requests
	n.mu.Lock()
	n.nextKey++
	q.Key = n.nextKey
	n.streamQuestions[q.Key] = received
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.streamQuestions, q.Key)
		n.mu.Unlock()
	}()
	n.sendStreams(nodes, streamMessage{Question: &q})
	timeout, repeat := time.NewTimer(streamAskTimeout), time.NewTimer(streamAskRepeat)
	defer timeout.Stop()
	defer repeat.Stop()
	for len(answers) < len(nodes) {
		select {
		case a := <-received:
			answers[a.from] = a.streamAnswer
			if a.Known != nil {
				return answers
			}
		case <-repeat.C:
			var silent []string
			for _, ip := range nodes {
				if _, answered := answers[ip]; !answered {
					silent = append(silent, ip)
				}
			}
			n.sendStreams(silent, streamMessage{Question: &q})
		case <-timeout.C:
			return answers
		case <-ctx.Done():
			return answers
		}
	}
	return answers
}

// sendStreams sends the message to the nodes, given by IP.
func (n *Node) sendStreams(nodes []string, m streamMessage) {
	if len(nodes) == 0 || n.peers.socket == nil {
		return
	}
	m.IP = n.settings.IP
	data, err := json.Marshal(streamDatagram{&m})
	if err != nil {
		level.Error(n.log).Log("event", "peer_message_failed", "err", err)
		return
	}
	for _, ip := range nodes {
		if _, err := n.peers.socket.WriteToUDP(data, &net.UDPAddr{IP: net.ParseIP(ip), Port: n.settings.PeerPort}); err != nil {
			level.Debug(n.log).Log("event", "peer_send_failed", "peer", ip, "err", err)
		}
	}
}

// receiveStreams handles a datagram if it is a streamDatagram, and returns false if it is not.
func (n *Node) receiveStreams(data []byte) bool {
	if !bytes.HasPrefix(data, streamDatagramPrefix) {
		return false
	}
	var d streamDatagram
	if err := json.Unmarshal(data, &d); err != nil || d.Streams == nil {
		level.Warn(n.log).Log("event", "peer_message_unreadable", "bytes", len(data), "err", err)
		return true
	}
	m, now := d.Streams, bootclock.Now()
	n.mu.Lock()
	_, known := n.peers.byIP[m.IP]
	if m.Began != nil {
		n.streams.Add(now, m.Began.decode(now))
	}
	if m.Answer != nil {
		select {
		case n.streamQuestions[m.Answer.Key] <- receivedAnswer{m.IP, *m.Answer}:
		default: // the question has ended
		}
	}
	var answer *streamAnswer
	if m.Question != nil && known {
		answer = n.answerStream(now, *m.Question)
	}
	n.mu.Unlock()
	if answer != nil {
		n.sendStreams([]string{m.IP}, streamMessage{Answer: answer})
	}
	return true
}

// answerStream returns what this node knows of a stream. The caller holds n.mu.
func (n *Node) answerStream(now time.Time, q streamQuestion) *streamAnswer {
	a := &streamAnswer{Key: q.Key}
	if r, found := n.streams.Find(now, q.ID); found {
		a.Known = encodeRecord(now, r)
		return a
	}
	view := n.viewOf(now, q.Service)
	a.Only, a.Seen = view.Origin.Software, view.Seen[:min(len(view.Seen), maxSeenTold)]
	return a
}
