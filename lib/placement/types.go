// Package placement decides which models and adapters are resident on which targets.
package placement

// View is the published placement: what may be routed where.
type View struct {
	Epoch   int64        `json:"e"` // of the controller
	Version int64        `json:"v"`
	Targets []TargetView `json:"t"`
}

// TargetView is one engine target in the published placement.
type TargetView struct {
	ID       string   `json:"i"`
	Addr     string   `json:"a"`
	Zone     string   `json:"z"`
	Slots    int      `json:"s"` // batch slots
	Models   []string `json:"m"` // resident and routable
	Adapters []string `json:"d"`
	Leaving  bool     `json:"l,omitempty"`
}

// Newer reports whether v replaces o.
func (v *View) Newer(o *View) bool {
	if v.Epoch != o.Epoch {
		return v.Epoch > o.Epoch
	}
	return v.Version > o.Version
}
