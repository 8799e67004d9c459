package adminapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/httpconn"
	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/lib/refusal"
)

// clientTimeout is longer than the server takes to answer.
const clientTimeout = acceptTimeout + 5*time.Second

// Client calls the administration API. The errors of its methods are refusals.
type Client struct {
	pool  httpconn.Pool
	addr  string
	token string
}

// NewClient returns a client for the API at the URL base, such as http://127.0.0.1:7300. It sends token with every
// request unless token is empty.
func NewClient(base, token string) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return nil, fmt.Errorf("%q is not the address of an API; write it as http://IP:port", base)
	}
	return &Client{addr: fasthttp.AddMissingPort(u.Host, false), token: token}, nil
}

// Apply sends a ticket. A refusal with the reason outcome_unknown may also mean that the answer was lost.
func (c *Client) Apply(body []byte) (manifest.Receipt, error) {
	var out manifest.Receipt
	return out, c.callAndDecode(fasthttp.MethodPost, "tickets", body, &out)
}

// Diff returns what a ticket would change, without applying it.
func (c *Client) Diff(body []byte) (DryRun, error) {
	var out DryRun
	return out, c.callAndDecode(fasthttp.MethodPost, "tickets?dry_run=1", body, &out)
}

// Ticket returns the status of a ticket.
func (c *Client) Ticket(number int64) (TicketStatus, error) {
	var out TicketStatus
	return out, c.callAndDecode(fasthttp.MethodGet, fmt.Sprintf("tickets/%d", number), nil, &out)
}

// Members lists the hosts that are members of the mesh, and listed gateways that aren't members yet.
func (c *Client) Members() ([]Member, error) {
	var out []Member
	return out, c.callAndDecode(fasthttp.MethodGet, "members", nil, &out)
}

// State returns all objects in force, or those of one kind ("organisations", "keys" and so on).
func (c *Client) State(kinds string) (State, error) {
	var out State
	return out, c.callAndDecode(fasthttp.MethodGet, kinds, nil, &out)
}

// Object returns one object.
func (c *Client) Object(kinds, name string) (Object, error) {
	var out Object
	return out, c.callAndDecode(fasthttp.MethodGet, kinds+"/"+name, nil, &out)
}

// callAndDecode sends a request and decodes the JSON of the response into out.
func (c *Client) callAndDecode(method, path string, body []byte, out any) error {
	answer, err := c.call(method, path, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return noAnswerError(method, fmt.Sprintf("answer is not JSON: %v", err))
	}
	return nil
}

// call sends a request and returns the body of a response with status 200. Other responses become refusals.
func (c *Client) call(method, path string, body []byte) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.addr + "/v1/" + path)
	req.Header.SetMethod(method)
	req.SetBody(body)
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	if err := c.pool.CallBy(context.Background(), time.Now().Add(clientTimeout), c.addr, req, resp); err != nil {
		if errors.Is(err, httpconn.ErrNotSent) {
			return nil, &refusal.Error{
				Reason: refusal.StoreUnavailable, Run: refusal.NotRun, Status: 503, Message: err.Error(),
				Remedy: "check --api, or use the admin program of another host",
			}
		}
		return nil, noAnswerError(method, err.Error())
	}
	answer := append([]byte(nil), resp.Body()...)
	if resp.StatusCode() == fasthttp.StatusOK {
		return answer, nil
	}
	var p RefusalBody
	if err := json.Unmarshal(answer, &p); err != nil || p.Reason == "" {
		return nil, noAnswerError(method, fmt.Sprintf("answer with status %d", resp.StatusCode()))
	}
	return nil, &refusal.Error{
		Reason: p.Reason, Run: p.Run, Status: resp.StatusCode(), Message: p.Message, Remedy: p.Remedy,
		RetryAfter: time.Duration(p.RetryAfterMS) * time.Millisecond,
	}
}

// noAnswerError returns the refusal for a call without a valid answer. A write may have been executed, so its outcome
// is unknown.
func noAnswerError(method, message string) error {
	if method == fasthttp.MethodGet {
		return &refusal.Error{
			Reason: refusal.StoreUnavailable, Run: refusal.NotRun, Status: 503, Message: message,
			Remedy: "try again, or use the admin program of another host",
		}
	}
	return &refusal.Error{
		Reason: refusal.OutcomeUnknown, Run: refusal.RunUnknown, Status: 504, Message: message,
		Remedy: "send the same ticket again, which tells whether it was accepted",
	}
}
