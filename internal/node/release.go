package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/twitchtv/twirp"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/membership"
	"github.com/redwingnotch/redwingnotch/peer"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/release"
)

// Intervals and time limits of the release loop.
const (
	releaseTick       = 100 * time.Millisecond // interval of the loop
	releaseWatchWait  = 4 * time.Second        // longest wait of one watch call for events
	releaseRetryDelay = 500 * time.Millisecond // pause after a failed watch
)

// releaseItemKey is the key of the membership item whose version is the release
// version in force.
const releaseItemKey = "head"

// releaseLoop runs this node's release.Replica, which follows the release in force.
type releaseLoop struct {
	node         *Node
	mu           sync.Mutex
	core         *release.Follower
	tableRefresh refreshTracker     // of the core's table of peers; used by tick only
	cancelWatch  context.CancelFunc // stops the watch; nil if there is none; used by tick only
}

func newReleaseLoop(n *Node, now time.Time) (*releaseLoop, error) {
	source, err := newRand()
	if err != nil {
		return nil, err
	}
	core := release.NewFollower(now, n.cfg.ID, n.cfg.Zone, n.cfg.Release, source)
	return &releaseLoop{node: n, core: core}, nil
}

// tick fetches missing versions and announces the version in force at this node.
func (r *releaseLoop) tick(ctx context.Context, now time.Time) error {
	syncing := r.node.catalog.getSyncState() != release.SyncCurrent
	if r.tableRefresh.due(r.node.members, now) || syncing {
		r.setPeers(now, r.node.members.releasePeers())
	}
	r.mu.Lock()
	effects := r.core.Tick(now)
	r.node.catalog.setSyncState(r.core.SyncState(now))
	r.mu.Unlock()
	r.publishVersion()
	if effects.Fetch {
		r.node.background.Go(func() { r.fetch(ctx, effects.From, effects.After) })
	}
	r.setWatch(ctx, effects.Watch)
	if effects.Announce != 0 {
		// ErrItemStale is ignored: a peer has announced this version already.
		_ = r.node.members.broadcast(now, membership.Item{Kind: membership.ItemRelease, Key: releaseItemKey, Version: effects.Announce})
	}
	return nil
}

func (r *releaseLoop) setPeers(now time.Time, peers []release.Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.SetPeers(now, peers)
}

// setWatch starts or stops the watch on the store.
func (r *releaseLoop) setWatch(ctx context.Context, open bool) {
	switch {
	case open && r.cancelWatch == nil:
		watchCtx, cancel := context.WithCancel(ctx)
		r.cancelWatch = cancel
		r.node.background.Go(func() { r.watch(watchCtx) })
	case !open && r.cancelWatch != nil:
		r.cancelWatch()
		r.cancelWatch = nil
	}
}

// fetch fetches the changes after a version from a peer or from the store.
func (r *releaseLoop) fetch(ctx context.Context, from release.Source, after uint64) {
	ctx, cancel := context.WithTimeout(ctx, r.node.cfg.Release.FetchTimeout)
	defer cancel()
	var update release.Update
	var err error
	requestedAt := time.Now()
	if from.Peer == "" {
		update, err = release.LoadUpdate(ctx, r.node.cfg.Store, after)
	} else {
		update, err = r.fetchFromPeer(ctx, from.Peer, after)
	}
	if err != nil {
		level.Debug(r.node.cfg.Log).Log("event", "release_fetch_failed", "from", from.Peer, "after", after, "err", err)
	}
	r.applyUpdate(requestedAt, from, update, err)
}

func (r *releaseLoop) fetchFromPeer(ctx context.Context, id fleet.NodeID, after uint64) (release.Update, error) {
	member, ok := r.node.members.member(id)
	if !ok {
		return release.Update{}, fmt.Errorf("fetch release from peer: node %s is not in the member table", id)
	}
	client := peer.NewReleaseProtobufClient("http://"+member.PeerAddr, r.node.peers.http)
	resp, err := client.Fetch(ctx, &peer.FetchRequest{AfterVersion: after})
	if err != nil {
		return release.Update{}, err
	}
	return release.EncodedUpdate{Version: resp.GetVersion(), Differences: resp.GetDifferences(), State: resp.GetState()}.Update()
}

// applyUpdate passes the result of a fetch or watch to the core and puts a newer
// version in force.
func (r *releaseLoop) applyUpdate(requestedAt time.Time, from release.Source, update release.Update, err error) {
	r.mu.Lock()
	raised := r.core.HandleUpdate(time.Now(), requestedAt, from, update, err)
	version := r.core.Version()
	if raised {
		state := r.core.State()
		r.node.catalog.set(version, state.Models(r.node.cfg.Cell), state.Adapters(r.node.cfg.Cell), state.Ranks())
	}
	r.mu.Unlock()
	if raised {
		r.publishVersion()
		level.Info(r.node.cfg.Log).Log("event", "release_in_force", "version", version, "from", from.Peer)
	}
}

// publishVersion tells the other members the version by which this node serves. Before
// that is confirmed they must send it no callers.
func (r *releaseLoop) publishVersion() {
	if version := r.node.catalog.Version(); version > 0 {
		r.node.members.setReleaseVersion(version)
	}
}

// watch follows the head object until ctx ends.
func (r *releaseLoop) watch(ctx context.Context) {
	for ctx.Err() == nil {
		requestedAt := time.Now()
		objects, position, err := r.node.cfg.Store.List(ctx, platform.KindRelease, release.HeadName)
		if err == nil {
			// The list includes changes made before the watch starts.
			r.handleHeads(ctx, requestedAt, objects)
			err = r.watchFrom(ctx, position)
		}
		if err != nil && ctx.Err() == nil {
			level.Info(r.node.cfg.Log).Log("event", "release_watch_failed", "err", err)
			// If ctx ends, sleep returns early and the loop ends.
			_ = sleep(ctx, releaseRetryDelay)
		}
	}
}

// watchFrom watches from a position in the store's history until a watch call fails.
func (r *releaseLoop) watchFrom(ctx context.Context, position uint64) error {
	for {
		requestedAt := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, releaseWatchWait+registerTimeout)
		events, reached, err := r.node.cfg.Store.Watch(callCtx, platform.KindRelease, position, releaseWatchWait)
		cancel()
		if err != nil {
			return err
		}
		position = reached
		r.handleHeads(ctx, requestedAt, existingObjects(events))
	}
}

// existingObjects returns the objects of the events other than deletions.
func existingObjects(events []platform.Event) []platform.Object {
	var objects []platform.Object
	for _, event := range events {
		if !event.Deleted {
			objects = append(objects, event.Object)
		}
	}
	return objects
}

// handleHeads processes the head object among the objects of a list or watch call
// that was made at requestedAt.
func (r *releaseLoop) handleHeads(ctx context.Context, requestedAt time.Time, objects []platform.Object) {
	newest := release.Head{}
	for _, object := range objects {
		if object.Name != release.HeadName {
			continue
		}
		head, err := release.DecodeHead(object)
		if err != nil {
			level.Error(r.node.cfg.Log).Log("event", "release_head_damaged", "err", err)
			continue
		}
		newest = head
	}
	r.mu.Lock()
	r.core.HandleWatch(time.Now(), newest.Version)
	after := r.core.Version()
	r.mu.Unlock()
	if newest.Version <= after {
		return
	}
	update, err := newest.Update(ctx, r.node.cfg.Store, after)
	r.applyUpdate(requestedAt, release.Source{}, update, err)
}

// Fetch implements peer.Release.
func (r *releaseLoop) Fetch(_ context.Context, req *peer.FetchRequest) (*peer.FetchResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update, ok := r.core.EncodedUpdate(req.GetAfterVersion())
	if !ok {
		return nil, twirp.WrapError(twirp.NewError(twirp.Unavailable, "this node does not know the version in force"), errNotConfirmed)
	}
	return &peer.FetchResponse{Version: update.Version, Differences: update.Differences, State: update.State}, nil
}

// errNotConfirmed means that this node does not know the version in force.
var errNotConfirmed = errors.New("release not confirmed")

// handleAnnouncement records a release version announced by a member.
func (r *releaseLoop) handleAnnouncement(version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.HandleAnnouncement(version, "")
}

// reconfirm makes the node check again which version is in force, after a pause. Until
// that is confirmed the node does not serve by the version that it had.
func (r *releaseLoop) reconfirm(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.Reconfirm(now)
	r.node.catalog.setSyncState(r.core.SyncState(now))
}
