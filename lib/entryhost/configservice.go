package entryhost

import (
	"bytes"
	"context"
	"sync"

	"cuminhook.org/cuminhook/lib/deflate"
)

// rpcConfig is the name of the net/rpc service from which a host reads a newer configuration of a peer, also when it cannot
// reach the store.
const rpcConfig = "Config"

// maxConfigBytes bounds a configuration that is read from a peer. The store takes much smaller ones only.
const maxConfigBytes = 16 << 20

// configService serves the net/rpc calls of other hosts that read the configuration. An aggregator sends it to each of its leaves,
// one after the other over its link, so it is compressed.
type configService struct {
	value func() []byte // returns the configuration in force as the operator wrote it, or nil

	mu         sync.Mutex
	plain      []byte // guarded by mu; what compressed was made of
	compressed []byte // guarded by mu
}

// Compressed returns the configuration in force, compressed, or nil if there is none.
func (s *configService) Compressed(_ struct{}, reply *[]byte) error {
	value := s.value()
	if value == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !bytes.Equal(value, s.plain) {
		compressed, err := deflate.Compress(value)
		if err != nil {
			return err
		}
		s.plain, s.compressed = value, compressed
	}
	*reply = s.compressed
	return nil
}

// readConfig reads the configuration in force at another host.
func (h *Host) readConfig(ctx context.Context, host string) ([]byte, error) {
	var compressed []byte
	if err := h.peers.Call(ctx, host, rpcConfig+".Compressed", struct{}{}, &compressed); err != nil {
		return nil, err
	}
	return deflate.Decompress(compressed, maxConfigBytes)
}
