package settings

import (
	"fmt"
	"net/netip"
)

// Node holds the settings that the gateway, controller and admin programs share.
type Node struct {
	Host    string   `yaml:"host"`    // ID of this host, as in the platform's host list
	Zone    string   `yaml:"zone"`    // availability zone
	Mesh    string   `yaml:"mesh"`    // IP:port for connections from the system's other processes
	Seeds   []string `yaml:"seeds"`   // mesh addresses of other gateways
	Metrics string   `yaml:"metrics"` // IP:port of /metrics, /health and /ready
	KV      string   `yaml:"kv"`      // base URL of the platform's key-value service
	Hosts   string   `yaml:"hosts"`   // base URL of the platform's host list
	Cell    string   `yaml:"cell"`    // name of the set of targets under one controller lease; default "main"
}

// CellName returns the name of the cell, or "main" if none is set.
func (n *Node) CellName() string {
	if n.Cell == "" {
		return "main"
	}
	return n.Cell
}

// Validate checks the shared settings. Errors name the key and the remedy.
func (n *Node) Validate() error {
	if n.Host == "" || n.Zone == "" {
		return fmt.Errorf("host and zone are required; set both to the names used in the platform's host list")
	}
	for key, addr := range map[string]string{"mesh": n.Mesh, "metrics": n.Metrics} {
		if err := CheckAddr(key, addr); err != nil {
			return err
		}
	}
	for i, seed := range n.Seeds {
		if err := CheckAddr(fmt.Sprintf("seeds[%d]", i), seed); err != nil {
			return err
		}
	}
	if n.KV == "" || n.Hosts == "" {
		return fmt.Errorf("kv and hosts are required; set them to the base URLs of the platform's services")
	}
	return nil
}

// CheckAddr returns an error that names key if addr isn't of the form IP:port.
func CheckAddr(key, addr string) error {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return fmt.Errorf("%s: %q is not an address; write it as IP:port, for example 127.0.0.1:7001", key, addr)
	}
	return nil
}
