package front

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/credentials"
	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/routes"
)

// Retry-After of requests whose keys can't be judged.
const (
	staleKeysRetryAfter  = 500 * time.Millisecond // this node can't confirm its keys; by then the caller may reach another node
	behindKeysRetryAfter = 100 * time.Millisecond // this node is refreshing its keys
)

// reasonKeyRemoved is the reason of a 401 for a key that was known when the request arrived.
const reasonKeyRemoved = "key_removed"

// keyState is what a node knows of API keys. Its mutex may be locked while Node.mu is held, not the
// other way round.
type keyState struct {
	faultsAt atomic.Uint64 // revision of the desired state whose faults were logged last

	mu        sync.Mutex // guards the fields below
	checker   *credentials.Checker
	refresher *credentials.Refresher
	ranks     credentials.EngineRanks
	required  bool          // the desired state in force requires keys
	absent    bool          // the store has no desired state: nothing confirms the one in force
	source    string        // node that brought the newest confirmation, or entrySourceStore
	unread    []confirmPeer // nodes that are sent one more reply once this node has read the store
	stale     bool          // the latest keys_stale has not been followed by keys_confirmed
}

func newKeyState(s platform.Settings) *keyState {
	bounds := credentials.Bounds{FailClosed: s.Bounds.FailClosed, Revocation: s.Bounds.RevocationTimeout, Apply: s.Bounds.ConfigApplyTimeout}
	return &keyState{checker: credentials.NewChecker(bounds), refresher: credentials.NewRefresher(bounds, spreadOf(s))}
}

// firstFault reports whether the faults of a desired state have not been logged yet.
func (k *keyState) firstFault(revision uint64) bool { return k.faultsAt.Swap(revision) != revision }

// putInForce records that a table with the index of its keys is in force.
func (k *keyState) putInForce(t *routes.Table, index *credentials.Index) {
	var priorities []int
	for i := range t.Routes {
		for _, split := range t.Routes[i].Splits {
			if s := t.Services[split.Service]; s != nil && s.Engine != nil {
				priorities = append(priorities, t.Routes[i].Priority)
			}
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.checker.PutInForce(index)
	k.ranks = credentials.NewEngineRanks(t.Teams, priorities)
	k.required = t.RequireKeys
}

// noteVersion records that another node has a version in force.
func (k *keyState) noteVersion(version uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.checker.NoteVersion(version)
}

// readDone handles the end of a read of the desired state that was sent at the given time. What it
// returned has been put in force.
func (k *keyState) readDone(sent time.Time, objects []platform.Object, err error) {
	if err != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.absent = true
	for _, o := range objects {
		k.absent = k.absent && o.Name != platform.ConfigName
	}
	k.confirmOwn(sent)
}

// watchDone handles the end of a watch of the desired state. A watch without a change ends once the
// wait has passed at the store, so it confirms the time of its end there, which is at least the wait
// after the sending. If it ended earlier, when it ended there is not known.
func (k *keyState) watchDone(sent time.Time, wait time.Duration, events []platform.Event, err error) {
	if err != nil {
		return
	}
	asOf := sent
	if end := sent.Add(wait); len(events) == 0 && !bootclock.Now().Before(end) {
		asOf = end
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range events {
		if e.Object.Name == platform.ConfigName {
			k.absent = e.Deleted
		}
	}
	k.confirmOwn(asOf)
}

// confirmOwn confirms the state in force as of a time. The caller holds k.mu.
func (k *keyState) confirmOwn(asOf time.Time) {
	if !k.absent {
		k.checker.ConfirmOwn(asOf)
		k.source = entrySourceStore
	}
}

// notReady reports whether this node rejects all requests that need keys.
func (k *keyState) notReady(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.required && k.checker.Stale(now)
}

// enginePriority returns the priority at a model engine of requests with the rank.
func (k *keyState) enginePriority(rank int) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ranks.Priority(rank)
}

// check decides about a key now, by the state in force, which may require none. An unknown key lets the
// node refresh its state early.
func (k *keyState) check(key credentials.Key) credentials.Decision {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.required {
		return credentials.Decision{Result: credentials.Accepted, Version: k.checker.Version(), Age: k.checker.Age(bootclock.Now())}
	}
	d := k.checker.Check(bootclock.Now(), key)
	if d.Refresh {
		k.refresher.Hurry()
	}
	return d
}

// checkKey checks the request's key now and sets its team.
func (x *exchange) checkKey() credentials.Decision {
	x.keyCheck = x.node.keys.check(x.key)
	x.team = x.keyCheck.Team
	return x.keyCheck
}

// authenticate finds the team whose key the request carries. If the request may not go on, it
// responds and returns false. It is called only if the desired state requires keys.
func (x *exchange) authenticate() bool {
	x.keyed, x.key = true, credentials.ParseKey(x.r.Header[platform.HeaderAuthorization])
	d := x.checkKey()
	if x.route.Public || d.Result == credentials.Accepted {
		return true
	}
	x.rejectKey(d, string(d.Result))
	return false
}

// authorizeAttempt repeats the check immediately before an attempt, with the desired state then in
// force: the request may have waited for long. If the key is now another team's, that team pays for the
// request. If it may not be sent, it ends the request and returns false.
func (x *exchange) authorizeAttempt() bool {
	table := x.node.desired.Load()
	if !x.keyed && !table.RequireKeys {
		return true
	}
	if !x.keyed {
		x.keyed, x.key = true, credentials.ParseKey(x.r.Header[platform.HeaderAuthorization])
	}
	public := x.route.Public
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	if route := table.Match(x.r.Host, path); route != nil {
		public = route.Public
	}
	before := x.team
	d := x.checkKey()
	if !public && d.Result != credentials.Accepted {
		reason := string(d.Result)
		if before != nil && d.Result == credentials.Unknown {
			reason = reasonKeyRemoved
		}
		x.team = before // for the log
		x.rejectKey(d, reason)
		return false
	}
	if x.runs > 0 || x.teamName() == x.charge.team {
		return true
	}
	x.returnAllowance()
	return x.takeAllowance() && x.authorizeAttempt() // once more, as the holder of the allowance may have been waited for
}

// rejectKey ends a request that may not be sent because of its key.
func (x *exchange) rejectKey(d credentials.Decision, reason string) {
	switch {
	case x.responseStarted || x.runs > 0:
		x.endUnanswered(reason)
	case d.Result.Final():
		x.w.Header().Set("WWW-Authenticate", platform.AuthScheme)
		x.fail(http.StatusUnauthorized, reason)
	case d.Result == credentials.Behind:
		x.refuse(reason, behindKeysRetryAfter)
	default:
		x.refuse(reason, staleKeysRetryAfter)
	}
	status := x.status
	if x.outcome == "aborted" {
		status = 0
	}
	x.node.metrics.KeyRejected(status, reason)
}

// rank returns the request's priority among all requests; 0 is the first.
func (x *exchange) rank() int {
	if !x.keyed {
		return x.route.Priority
	}
	return credentials.Rank(x.team, x.route.Priority)
}

// teamName returns the name of the request's team, empty if it has none.
func (x *exchange) teamName() string {
	if x.team == nil {
		return ""
	}
	return x.team.Name
}

// requestLogger returns the logger of the request's log line. If the desired state has teams, that names
// the team, and the version and age of the state by which the key was last checked.
func (x *exchange) requestLogger() log.Logger {
	logger := level.Info(x.node.log)
	if x.keyed {
		logger = log.WithSuffix(logger, "team", x.teamName(), "keys_version", x.keyCheck.Version, "keys_age_ms", x.keyCheck.Age.Milliseconds())
	}
	return logger
}
