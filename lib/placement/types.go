// Package placement decides which models and adapters are resident on which targets.
package placement

// View is the published placement: the models and adapters that requests may be routed to, by target.
type View struct {
	Epoch   int64        `json:"e"` // of the controller that published the view
	Version int64        `json:"v"` // rises with each view of an epoch
	Targets []TargetView `json:"t"`
}

// TargetView is one engine target in the published placement.
type TargetView struct {
	ID       string   `json:"i"`
	Addr     string   `json:"a"`
	Zone     string   `json:"z"`
	Slots    int      `json:"s"` // batch slots
	Models   []string `json:"m"` // resident and routable
	Adapters []string `json:"d"` // resident and routable
	Leaving  bool     `json:"l,omitempty"`
}

// Newer reports whether v is newer than o: of a later epoch, or of the same epoch and a later version.
func (v *View) Newer(o *View) bool {
	if v.Epoch != o.Epoch {
		return v.Epoch > o.Epoch
	}
	return v.Version > o.Version
}
