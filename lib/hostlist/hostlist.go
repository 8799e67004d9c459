// Package hostlist defines the interface to the platform's list of live and leaving hosts. The list may lag behind the
// actual state of the hosts.
package hostlist

import "context"

// Role is the kind of program that a listed host runs.
type Role string

// Roles of listed hosts.
const (
	RoleEntry   Role = "entry"   // runs this system's programs
	RoleEngine  Role = "engine"  // model engine
	RoleService Role = "service" // service without models
)

// Host is an entry of the list.
type Host struct {
	ID      string `json:"id" yaml:"id"`
	Role    Role   `json:"role" yaml:"role"`
	Zone    string `json:"zone" yaml:"zone"`       // availability zone
	Addr    string `json:"addr" yaml:"addr"`       // IP:port of the engine or service; mesh address of an entry host
	Service string `json:"service" yaml:"service"` // service name for RoleService
	Leaving bool   `json:"leaving" yaml:"leaving"`
}

// List reads the platform's list of hosts.
type List interface {
	// Hosts returns the newest list. On error the caller should continue to use the list that it has.
	Hosts(ctx context.Context) ([]Host, error)
}
