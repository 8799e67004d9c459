package mesh

import (
	"context"
	"encoding/json"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/hostlist"
	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/lib/placement"
	"cuminhook.org/cuminhook/lib/ticket"
)

// Codec decodes the configuration and loads its state.
type Codec interface {
	// DecodeManifest decodes the value of the manifest key.
	DecodeManifest(value []byte) (*manifest.Manifest, error)
	EncodeManifest(m *manifest.Manifest) ([]byte, error)
	// Load returns the state of m, read from store. It may start from have, which is older.
	Load(ctx context.Context, store kv.Store, have *confview.Snapshot, m *manifest.Manifest) (*ticket.State, error)
	EncodeState(s *ticket.State) ([]byte, error)
	DecodeState(data []byte) (*ticket.State, error)
}

// jsonCodec keeps manifests and states as JSON and loads no ticket bodies.
type jsonCodec struct{}

func (jsonCodec) DecodeManifest(value []byte) (*manifest.Manifest, error) {
	m := &manifest.Manifest{}
	return m, json.Unmarshal(value, m)
}

func (jsonCodec) EncodeManifest(m *manifest.Manifest) ([]byte, error) { return json.Marshal(m) }

func (jsonCodec) Load(_ context.Context, _ kv.Store, have *confview.Snapshot, _ *manifest.Manifest) (*ticket.State, error) {
	return have.State, nil
}

func (jsonCodec) EncodeState(s *ticket.State) ([]byte, error) { return json.Marshal(s) }

func (jsonCodec) DecodeState(data []byte) (*ticket.State, error) {
	s := &ticket.State{}
	return s, json.Unmarshal(data, s)
}

// emptySnapshot is the snapshot before any configuration.
func emptySnapshot() *confview.Snapshot {
	return &confview.Snapshot{
		Manifest: emptyManifest(),
		State: &ticket.State{
			Organisations: map[string]ticket.Organisation{}, Keys: map[string]ticket.Key{},
			Models: map[string]ticket.Model{}, Adapters: map[string]ticket.Adapter{},
			Routes: map[string]ticket.Route{}, Writers: map[string]int64{}, Accepted: map[int64]string{},
		},
		Placement: &placement.View{},
		Hosts:     []hostlist.Host{},
	}
}

// emptyManifest stands for a manifest key that does not exist yet.
func emptyManifest() *manifest.Manifest {
	return &manifest.Manifest{Slots: manifest.SlotTable{Owners: make([]string, manifest.SlotCount)}}
}
