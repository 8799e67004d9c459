// Package adminapi implements the HTTP administration API and its client. Operators use it to send change tickets and
// to read the configuration in force.
package adminapi

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/hostlist"
	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/lib/refusal"
	"cuminhook.org/cuminhook/lib/ticket"
)

const (
	// acceptTimeout is longer than the 5 s after which a write to an unresponsive key-value service fails.
	acceptTimeout = 10 * time.Second
	// unreachableAfter is the age of a member's last digest from which the member counts as unreachable. Digests
	// arrive every 500 ms, directly or through other members.
	unreachableAfter = 3 * time.Second
)

// Writer accepts tickets; *manifest.Writer implements it.
type Writer interface {
	Accept(ctx context.Context, t *ticket.Ticket) (manifest.Receipt, error)
	// Newest returns the manifest and state that the writer read or wrote last, or nil if there are none.
	Newest() *manifest.Loaded
}

// Config holds the settings of the API.
type Config struct {
	Token string // if not empty, requests must send "Authorization: Bearer <token>"
	Log   *slog.Logger
	Zone  string // availability zone of this host, shown in its entry of the members
}

// Server handles the requests of the API.
type Server struct {
	view   confview.View
	writer Writer
	config Config
}

// New returns a server whose Handle is to be the handler of a fasthttp.Server. A nil Config.Log means slog.Default.
func New(view confview.View, writer Writer, config Config) *Server {
	if config.Log == nil {
		config.Log = slog.Default()
	}
	return &Server{view: view, writer: writer, config: config}
}

// MaxBody is the request body limit, in bytes, for the HTTP server in front of Handle. It is above ticket.MaxBytes, so
// that a ticket that is somewhat too large is refused as ticket_too_large, with a remedy.
const MaxBody = 2 * ticket.MaxBytes

// Object is a configuration object in force.
type Object struct {
	Kind   ticket.Kind `json:"kind" yaml:"kind"`
	Name   string      `json:"name" yaml:"name"`
	Ticket int64       `json:"ticket" yaml:"ticket"` // number of the ticket that last wrote it
	Value  any         `json:"value" yaml:"value"`
}

// State lists objects in force, as known to the host that answers.
type State struct {
	Revision int64    `json:"revision" yaml:"revision"`
	Status   string   `json:"status" yaml:"status"` // recency of the configuration: starting, fresh, outage or isolated
	Objects  []Object `json:"objects" yaml:"objects"`
}

// Has says whether a member has a ticket in force.
type Has string

// Values of Has.
const (
	HasYes     Has = "yes"
	HasNo      Has = "no"
	HasUnknown Has = "silent" // unknown: no digest received within unreachableAfter, or never
)

// Member is a host as last seen by the host that answers.
type Member struct {
	ID       string `json:"id" yaml:"id"`
	Role     string `json:"role" yaml:"role"`
	Zone     string `json:"zone" yaml:"zone"`
	Status   string `json:"status" yaml:"status"`
	Leaving  bool   `json:"leaving" yaml:"leaving"`
	Revision int64  `json:"revision" yaml:"revision"`
	AgeMS    int64  `json:"age_ms" yaml:"age_ms"`               // time since its last digest
	Has      Has    `json:"has,omitempty" yaml:"has,omitempty"` // only set in a TicketStatus
}

// TicketStatus says whether a ticket was accepted and which members have it in force.
type TicketStatus struct {
	Number     int64    `json:"number" yaml:"number"`
	Accepted   bool     `json:"accepted" yaml:"accepted"`
	SHA256     string   `json:"sha256,omitempty" yaml:"sha256,omitempty"`
	Revision   int64    `json:"revision" yaml:"revision"` // members at or above this revision have the ticket in force
	Everywhere bool     `json:"everywhere" yaml:"everywhere"`
	AsOf       int64    `json:"as_of" yaml:"as_of"`   // revision on which this answer is based
	Status     string   `json:"status" yaml:"status"` // recency of that revision
	Members    []Member `json:"members" yaml:"members"`
}

// DryRun is the response to a ticket sent with dry_run=1: what the ticket would change.
type DryRun struct {
	Number   int64           `json:"number" yaml:"number"`
	SHA256   string          `json:"sha256" yaml:"sha256"`
	Base     int64           `json:"base" yaml:"base"`         // revision against which the ticket was checked
	Repeated bool            `json:"repeated" yaml:"repeated"` // the ticket was accepted before
	Changes  []ticket.Change `json:"changes" yaml:"changes"`
}

// RefusalBody is the response body of a refusal.
type RefusalBody struct {
	Reason       refusal.Reason   `json:"reason"`
	Run          refusal.RunState `json:"run"`
	Message      string           `json:"message"`
	Remedy       string           `json:"remedy"`
	RetryAfterMS int64            `json:"retry_after_ms,omitempty"`
}

// Handle is the fasthttp.RequestHandler of the API.
func (s *Server) Handle(c *fasthttp.RequestCtx) {
	answer, err := s.dispatch(c)
	if err != nil {
		s.writeRefusal(c, err)
		return
	}
	writeJSON(c, fasthttp.StatusOK, answer)
}

// dispatch calls the handler for the path and method of the request and returns the value to encode in the response.
func (s *Server) dispatch(c *fasthttp.RequestCtx) (any, error) {
	if !s.authorised(c) {
		return nil, &refusal.Error{
			Reason: refusal.KeyMissing, Run: refusal.NotRun, Status: 401, Message: "the operator token is missing or wrong",
			Remedy: "send it as 'Authorization: Bearer <token>'",
		}
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(string(c.Path()), "/v1/"), "/")
	switch {
	case kind == "tickets" && name == "" && c.IsPost():
		return s.postTicket(c)
	case !c.IsGet():
		return nil, notFound("no call %s %s", c.Method(), c.Path())
	case kind == "tickets" && name != "":
		return s.ticketStatus(name)
	case kind == "members" && name == "":
		return s.members(0), nil
	case kind == "state" && name == "":
		return s.state(ticket.Kinds()...), nil
	}
	for _, k := range ticket.Kinds() {
		if kind == string(k)+"s" {
			return s.objects(k, name)
		}
	}
	return nil, notFound("no call %s %s", c.Method(), c.Path())
}

func (s *Server) authorised(c *fasthttp.RequestCtx) bool {
	if s.config.Token == "" {
		return true
	}
	got := c.Request.Header.Peek("Authorization")
	return subtle.ConstantTimeCompare(got, []byte("Bearer "+s.config.Token)) == 1
}

func (s *Server) postTicket(c *fasthttp.RequestCtx) (any, error) {
	t, err := ticket.Parse(c.PostBody())
	if err != nil {
		return nil, err
	}
	if c.QueryArgs().GetBool("dry_run") {
		return s.dryRun(t)
	}
	ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
	defer cancel()
	receipt, err := s.writer.Accept(ctx, t)
	countTicket(receipt, err)
	if err != nil {
		s.config.Log.Warn("ticket not confirmed", "number", t.Number, "error", err)
		return nil, err
	}
	s.config.Log.Info("ticket accepted", "number", t.Number, "sha256", receipt.SHA256,
		"revision", receipt.Revision, "repeated", receipt.Repeated)
	return receipt, nil
}

func (s *Server) dryRun(t *ticket.Ticket) (any, error) {
	m, state := s.newestState()
	next, err := state.Apply(t)
	if err != nil {
		return nil, err
	}
	return DryRun{
		Number: t.Number, SHA256: t.Hash(), Base: m.Revision, Repeated: next == state,
		Changes: ticket.Diff(state, next, t),
	}, nil
}

// newestState returns the manifest and state of this host or those that the writer read or wrote last, whichever are
// newer.
func (s *Server) newestState() (*manifest.Manifest, *ticket.State) {
	snap := s.view.Snapshot()
	if l := s.writer.Newest(); l != nil && l.Manifest.Revision > snap.Manifest.Revision {
		return l.Manifest, l.State
	}
	return snap.Manifest, snap.State
}

func (s *Server) ticketStatus(name string) (any, error) {
	number, err := strconv.ParseInt(name, 10, 64)
	if err != nil || number < 1 {
		return nil, notFound("%q is not a ticket number", name)
	}
	m, state := s.newestState()
	out := TicketStatus{Number: number, AsOf: m.Revision, Status: s.view.Status().String()}
	out.SHA256, out.Accepted = state.Accepted.Get(number)
	if !out.Accepted {
		if number < state.Floor {
			return nil, &refusal.Error{
				Reason: refusal.NumberTooOld, Run: refusal.NotRun, Status: 404,
				Message: fmt.Sprintf("ticket %d is below the oldest retained number %d", number, state.Floor),
				Remedy:  "read the objects it touched",
			}
		}
		return out, nil
	}
	out.Revision = inForceFrom(m, number)
	out.Members = s.members(out.Revision)
	out.Everywhere = !slices.ContainsFunc(out.Members, func(m Member) bool { return m.Has != HasYes })
	return out, nil
}

// inForceFrom returns a revision such that every host at or above it has the accepted ticket in force. It is the
// ticket's own revision or, if m no longer lists the ticket, that of the oldest ticket that m lists (if m lists
// none, that of m).
func inForceFrom(m *manifest.Manifest, number int64) int64 {
	for _, t := range m.Tickets {
		if t.Number == number {
			return t.Revision
		}
	}
	if len(m.Tickets) > 0 {
		return m.Tickets[0].Revision
	}
	return m.Revision
}

// members lists this host and all other members. If revision isn't zero, it also says which of them have reached it.
func (s *Server) members(revision int64) []Member {
	list := append(s.view.Members(), confview.Member{
		ID: s.view.Self(), Role: "admin", Zone: s.config.Zone, Revision: s.view.Snapshot().Manifest.Revision, Status: s.view.Status(),
	})
	list = append(list, s.unseenGateways(list)...)
	out := make([]Member, 0, len(list))
	for _, m := range list {
		member := Member{
			ID: m.ID, Role: m.Role, Zone: m.Zone, Status: m.Status.String(), Leaving: m.Leaving,
			Revision: m.Revision, AgeMS: m.AgeMS,
		}
		if revision > 0 {
			member.Has = hasRevision(m, revision)
		}
		out = append(out, member)
	}
	slices.SortFunc(out, func(a, b Member) int {
		return strings.Compare(a.Role+"/"+a.Zone+"/"+a.ID, b.Role+"/"+b.Zone+"/"+b.ID)
	})
	return out
}

// unseenGateways returns the gateways of the platform's host list that aren't among the known members. Without them,
// a ticket would count as in force everywhere while a gateway is unreachable or has just started.
func (s *Server) unseenGateways(known []confview.Member) []confview.Member {
	var out []confview.Member
	for _, h := range s.view.Snapshot().Hosts {
		listed := func(m confview.Member) bool { return m.ID == h.ID }
		if h.Role != hostlist.RoleEntry || h.Leaving || slices.ContainsFunc(known, listed) {
			continue
		}
		out = append(out, confview.Member{
			ID: h.ID, Role: "gateway", Zone: h.Zone, Addr: h.Addr, Status: confview.Starting, AgeMS: unreachableAfter.Milliseconds(),
		})
	}
	return out
}

// hasRevision says whether m has reached a revision.
func hasRevision(m confview.Member, revision int64) Has {
	switch {
	case m.Revision >= revision:
		return HasYes // a host never returns to a lower revision
	case time.Duration(m.AgeMS)*time.Millisecond >= unreachableAfter:
		return HasUnknown
	}
	return HasNo
}

// state returns all objects of the given kinds, sorted by name within each kind.
func (s *Server) state(kinds ...ticket.Kind) State {
	m, state := s.newestState()
	out := State{Revision: m.Revision, Status: s.view.Status().String(), Objects: []Object{}}
	for _, kind := range kinds {
		refs := state.Refs(kind)
		slices.SortFunc(refs, func(a, b ticket.Ref) int { return strings.Compare(a.Name, b.Name) })
		keys := keysByName(state, kind)
		for _, ref := range refs {
			var value any
			if kind == ticket.KindKey {
				value = keys[ref.Name]
			} else {
				value = state.Object(ref)
			}
			number, _ := state.Writers.Get(ref)
			out.Objects = append(out.Objects, Object{ref.Kind, ref.Name, number, value})
		}
	}
	return out
}

// keysByName indexes the keys by name if kind is KindKey, and else returns nil. Looking up each key with
// ticket.State.Object would take quadratic time.
func keysByName(state *ticket.State, kind ticket.Kind) map[string]ticket.Key {
	if kind != ticket.KindKey {
		return nil
	}
	out := make(map[string]ticket.Key, len(state.Keys))
	for _, k := range state.Keys {
		out[k.Name] = k
	}
	return out
}

// objects returns the object of the given kind and name, or all objects of the kind if name is empty.
func (s *Server) objects(kind ticket.Kind, name string) (any, error) {
	if name == "" {
		return s.state(kind), nil
	}
	m, state := s.newestState()
	ref := ticket.Ref{Kind: kind, Name: name}
	value := state.Object(ref)
	number, written := state.Writers.Get(ref)
	if value == nil {
		message := fmt.Sprintf("%s does not exist at revision %d", ref, m.Revision)
		if written {
			message += fmt.Sprintf("; ticket %d deleted it", number)
		}
		return nil, notFound("%s", message)
	}
	return Object{kind, name, number, value}, nil
}

func notFound(format string, args ...any) error {
	return &refusal.Error{
		Reason: refusal.NotFound, Run: refusal.NotRun, Status: 404, Message: fmt.Sprintf(format, args...),
		Remedy: "see 'cuminhookctl --help' for the calls and 'cuminhookctl get KIND' for the names",
	}
}

// writeRefusal writes err as a RefusalBody. An err that isn't a refusal is logged and written as an internal error.
func (s *Server) writeRefusal(c *fasthttp.RequestCtx, err error) {
	var r *refusal.Error
	if !errors.As(err, &r) {
		s.config.Log.Error("request failed", "path", string(c.Path()), "error", err)
		r = &refusal.Error{
			Reason: refusal.Internal, Run: refusal.RunUnknown, Status: 500, Message: err.Error(),
			Remedy: "send the same ticket again; if this persists, see the log of the admin program",
		}
	}
	if r.RetryAfter > 0 {
		c.Response.Header.Set("Retry-After", strconv.FormatInt(int64((r.RetryAfter+time.Second-1)/time.Second), 10))
	}
	writeJSON(c, r.Status, RefusalBody{r.Reason, r.Run, r.Message, r.Remedy, r.RetryAfter.Milliseconds()})
}

func writeJSON(c *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetStatusCode(status)
	c.SetContentType("application/json")
	c.SetBody(body)
}
