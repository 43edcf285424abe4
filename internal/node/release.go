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

// Times of the release loop.
const (
	releaseTick      = 100 * time.Millisecond
	releaseWatchWait = 4 * time.Second // of one watch call
	releaseRetry     = 500 * time.Millisecond
)

// releaseHead is the key of the item that tells the version in force.
const releaseHead = "head"

// releases carries out the node's view of the release.
type releases struct {
	node     *Node
	mu       sync.Mutex
	core     *release.Replica
	table    watcher            // used by tick only
	watching context.CancelFunc // ends the watch; nil if there is none; used by tick only
}

func newReleases(n *Node, now time.Time) (*releases, error) {
	source, err := newSource()
	if err != nil {
		return nil, err
	}
	core := release.NewReplica(now, n.cfg.ID, n.cfg.Zone, n.cfg.Release, source)
	return &releases{node: n, core: core}, nil
}

// tick asks for what is missing and tells the members what is in force here.
func (r *releases) tick(ctx context.Context, now time.Time) error {
	settling := r.node.catalog.getStanding() != release.StandingCurrent
	if r.table.due(r.node.members, now) || settling {
		r.setPeers(now, r.node.members.releasePeers())
	}
	r.mu.Lock()
	effects := r.core.Tick(now)
	standing := r.core.Standing(now)
	r.mu.Unlock()
	r.node.catalog.setStanding(standing)
	if effects.Fetch {
		r.node.background.Go(func() { r.fetch(ctx, effects.From, effects.After) })
	}
	r.setWatch(ctx, effects.Watch)
	if effects.Announce != 0 {
		// A stale item means that a peer has told this version already.
		_ = r.node.members.broadcast(now, membership.Item{Kind: membership.ItemRelease, Key: releaseHead, Version: effects.Announce})
	}
	return nil
}

func (r *releases) setPeers(now time.Time, peers []release.Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.SetPeers(now, peers)
}

// setWatch opens or closes the watch on the store.
func (r *releases) setWatch(ctx context.Context, wanted bool) {
	switch {
	case wanted && r.watching == nil:
		watchCtx, cancel := context.WithCancel(ctx)
		r.watching = cancel
		r.node.background.Go(func() { r.watch(watchCtx) })
	case !wanted && r.watching != nil:
		r.watching()
		r.watching = nil
	}
}

// fetch asks a peer or the store for what came after a version.
func (r *releases) fetch(ctx context.Context, from release.Source, after uint64) {
	ctx, cancel := context.WithTimeout(ctx, r.node.cfg.Release.FetchTimeout)
	defer cancel()
	var update release.Update
	var err error
	if from.Peer == "" {
		update, err = release.Load(ctx, r.node.cfg.Store, after)
	} else {
		update, err = r.fetchFrom(ctx, from.Peer, after)
	}
	if err != nil {
		level.Debug(r.node.cfg.Log).Log("event", "release_fetch_failed", "from", from.Peer, "after", after, "err", err)
	}
	r.take(from, update, err)
}

func (r *releases) fetchFrom(ctx context.Context, id fleet.NodeID, after uint64) (release.Update, error) {
	member, ok := r.node.members.member(id)
	if !ok {
		return release.Update{}, fmt.Errorf("node %s is no member", id)
	}
	client := peer.NewReleaseProtobufClient("http://"+member.PeerAddr, r.node.peers.http)
	resp, err := client.Fetch(ctx, &peer.FetchRequest{AfterVersion: after})
	if err != nil {
		return release.Update{}, err
	}
	return release.Answer{Version: resp.GetVersion(), Differences: resp.GetDifferences(), State: resp.GetState()}.Update()
}

// take puts in force what a fetch or watch brought.
func (r *releases) take(from release.Source, update release.Update, err error) {
	r.mu.Lock()
	raised := r.core.HandleUpdate(time.Now(), from, update, err)
	version := r.core.Version()
	if raised {
		state := r.core.State()
		r.node.catalog.set(version, state.Models(r.node.cfg.Cell), state.Adapters(r.node.cfg.Cell), state.Ranks())
	}
	r.mu.Unlock()
	if raised {
		r.node.members.setReleaseVersion(version)
		level.Info(r.node.cfg.Log).Log("event", "release_in_force", "version", version, "from", from.Peer)
	}
}

// watch follows the head object until ctx ends.
func (r *releases) watch(ctx context.Context) {
	for ctx.Err() == nil {
		objects, position, err := r.node.cfg.Store.List(ctx, platform.KindRelease, release.HeadName)
		if err == nil {
			// What changed before the watch is in the list.
			r.heard(ctx, objects)
			err = r.follow(ctx, position)
		}
		if err != nil && ctx.Err() == nil {
			level.Info(r.node.cfg.Log).Log("event", "release_watch_failed", "err", err)
			// The context shows whether the wait was cut short.
			_ = sleep(ctx, releaseRetry)
		}
	}
}

// follow watches from a position of the store until a watch fails.
func (r *releases) follow(ctx context.Context, position uint64) error {
	for {
		callCtx, cancel := context.WithTimeout(ctx, releaseWatchWait+registerTimeout)
		events, reached, err := r.node.cfg.Store.Watch(callCtx, platform.KindRelease, position, releaseWatchWait)
		cancel()
		if err != nil {
			return err
		}
		position = reached
		r.heard(ctx, livingObjects(events))
	}
}

// livingObjects returns the objects of the events that are no deletions.
func livingObjects(events []platform.Event) []platform.Object {
	var objects []platform.Object
	for _, event := range events {
		if !event.Deleted {
			objects = append(objects, event.Object)
		}
	}
	return objects
}

// heard takes what a list or watch brought.
func (r *releases) heard(ctx context.Context, objects []platform.Object) {
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
	r.take(release.Source{}, update, err)
}

// Fetch implements peer.Release.
func (r *releases) Fetch(_ context.Context, req *peer.FetchRequest) (*peer.FetchResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	answer, ok := r.core.Answer(req.GetAfterVersion())
	if !ok {
		return nil, twirp.WrapError(twirp.NewError(twirp.Unavailable, "the version in force is not known here"), errNotConfirmed)
	}
	return &peer.FetchResponse{Version: answer.Version, Differences: answer.Differences, State: answer.State}, nil
}

// errNotConfirmed means that a node does not know the version in force.
var errNotConfirmed = errors.New("release not confirmed")

// announced takes note of a version that a member told.
func (r *releases) announced(version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.HandleHeard(version, "")
}

// reconfirm asks again which version is in force, after a pause. The node does
// not serve by what it knew until that is confirmed.
func (r *releases) reconfirm(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.Reconfirm(now)
	r.node.catalog.setStanding(r.core.Standing(now))
}
