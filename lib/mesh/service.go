package mesh

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"cuminhook.org/cuminhook/lib/manifest"
)

// service implements the RPC service Mesh, whose methods the other members call.
type service struct{ n *Node }

// Exchange merges the caller's digest and returns the digest of this node.
func (s *service) Exchange(args *ExchangeArgs, reply *ExchangeReply) error {
	s.n.handleExchange(args, reply)
	return nil
}

// Records returns the full records of the members with the given tags.
func (s *service) Records(args *RecordsArgs, reply *RecordsReply) error {
	s.n.mu.Lock()
	defer s.n.mu.Unlock()
	reply.Members = s.n.members.recordsByTag(args.Tags, s.n.clock())
	return nil
}

// Fetch returns the configuration if it is newer than the caller's.
func (s *service) Fetch(args *FetchArgs, reply *FetchReply) error {
	s.n.handleFetch(args, reply)
	return nil
}

// Objects returns stored objects by key, as many as fit into maxBatchBytes.
func (s *service) Objects(args *ObjectsArgs, reply *ObjectsReply) error {
	reply.Objects = s.n.cachedObjects(args.Keys)
	return nil
}

// State returns the part of the encoded state that starts at the given offset.
func (s *service) State(args *StateArgs, reply *StateReply) error {
	seq, data, err := s.n.encodedState()
	if err != nil {
		return err
	}
	if args.Offset < 0 || args.Offset >= len(data) {
		return eris.Errorf("mesh: offset %d is outside the encoded state, which may have changed; read it again", args.Offset)
	}
	reply.Seq, reply.Size = seq, len(data)
	reply.Part = data[args.Offset:min(args.Offset+maxBatchBytes, len(data))]
	return nil
}

// FetchView returns the placement view if it is newer than the caller's.
func (s *service) FetchView(args *FetchViewArgs, reply *FetchViewReply) error {
	v := s.n.Snapshot().Placement
	if !(viewID{v.Epoch, v.Version}).newer(args.Have) {
		return nil
	}
	var err error
	reply.View, err = json.Marshal(v)
	return err
}

// FetchHosts returns the host list unless the caller already has it.
func (s *service) FetchHosts(args *FetchHostsArgs, reply *FetchHostsReply) error {
	s.n.mu.Lock()
	defer s.n.mu.Unlock()
	reply.AgeMS = ceilMS(s.n.clock() - s.n.hostListReadAt)
	if reply.Same = args.Hash == s.n.hostListHash; !reply.Same {
		reply.Hosts = s.n.snapshot.Load().Hosts
	}
	return nil
}

// Notify receives the notification that another member has installed a revision, and fetches it if it is newer.
func (s *service) Notify(args *NotifyArgs, _ *Empty) error {
	s.n.mu.Lock()
	s.n.members.mergeRecord(args.From, s.n.clock())
	s.n.recency.observeRevision(args.Revision)
	missing := args.Revision > s.n.recency.revision
	s.n.mu.Unlock()
	if missing {
		s.n.fetch("manifest", args.From.Addr, s.n.fetchManifest)
	}
	return nil
}

// Announce stores the announcement of a manifest write. It fails if too many announcements are unresolved.
func (s *service) Announce(args *AnnounceArgs, _ *Empty) error {
	s.n.mu.Lock()
	defer s.n.mu.Unlock()
	if len(s.n.recency.pending) >= maxAnnouncements {
		return errTooManyUnresolved
	}
	before := len(s.n.recency.pending)
	added := s.n.recency.addAnnouncement(args.Announcement.ID, args.Announcement.Restriction, s.n.clock())
	s.n.publishRestrictions(before, added)
	return nil
}

// Announce announces a manifest write with restriction r to the witnesses listed in the manifest that the write
// replaces, and returns the number of acknowledgements. It returns as soon as a majority of the witnesses has
// acknowledged, or ErrNoMajority if there is no majority within 1 s. An empty list needs no acknowledgement.
func (n *Node) Announce(ctx context.Context, r manifest.Restriction, witnesses []string) (int, error) {
	if len(witnesses) == 0 {
		return 0, nil
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	n.mu.Lock()
	n.announceCount++
	id := fmt.Sprintf("%s/%s/%d", n.members.self.ID, n.members.self.Boot, n.announceCount)
	n.mu.Unlock()
	args := &AnnounceArgs{announcement{ID: id, Restriction: r}}
	results := make(chan error, len(witnesses))
	for _, w := range witnesses {
		go func() { results <- n.Call(ctx, w, "Mesh.Announce", args, &Empty{}) }()
	}
	acked := 0
	for range witnesses {
		if err := <-results; err != nil {
			n.log.Warn("mesh: announcement not acknowledged by a witness", "error", err)
			continue
		}
		if acked++; acked > len(witnesses)/2 {
			return acked, nil
		}
	}
	return acked, ErrNoMajority
}
