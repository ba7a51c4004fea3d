package operators

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/google/uuid"

	"gypsumshelf.example/gypsumshelf"
	"gypsumshelf.example/gypsumshelf/attempts"
	"gypsumshelf.example/gypsumshelf/configs"
)

const (
	dialTimeout = time.Second
	// responseTimeout is the timeout of a call to a daemon. It exceeds
	// CommandTimeout, so that the daemon can still report that the outcome is
	// unknown.
	responseTimeout = CommandTimeout + 2*time.Second
	// maxRounds is the maximum number of passes through the list of daemons. The
	// pause between passes gives an election time to finish.
	maxRounds     = 3
	roundInterval = 500 * time.Millisecond
)

// CommandTimeout is the time for which a daemon waits for the result of a command
// before it reports that the outcome is unknown.
const CommandTimeout = 5 * time.Second

// ClientConfig configures a Client.
type ClientConfig struct {
	DaemonAddresses []string // addresses of the daemons' operator listeners, as IP:PORT
}

// Client sends operator commands and queries to the first daemon that responds.
type Client struct {
	cfg  ClientConfig
	http *http.Client
}

// NewClient returns a Client.
func NewClient(cfg ClientConfig) *Client {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, DisableKeepAlives: true}
	return &Client{cfg: cfg, http: &http.Client{Transport: transport, Timeout: responseTimeout}}
}

// NewCommandID returns a new command id, a UUID of version 7. It contains the
// current time, from which the state machine recognizes an expired id.
func NewCommandID() (string, error) {
	id, err := uuid.NewV7()
	return id.String(), err
}

// Execute sends a command to one daemon after another until one returns its
// result. All get the same command id, so that the command is applied at most
// once even when a response is lost.
func (c *Client) Execute(ctx context.Context, command configs.OperatorCommand) (CommandResponse, error) {
	var response CommandResponse
	body, err := json.Marshal(command)
	if err != nil {
		return response, fmt.Errorf("command cannot be encoded: %w", err)
	}
	decode := func(status int, data []byte) error {
		if err := json.Unmarshal(data, &response); err != nil || response.CommandID == "" {
			return decodeProblem(status, data)
		}
		return nil
	}
	return response, c.callDaemons(ctx, http.MethodPost, "/commands", body, decode)
}

// Status returns the status of the first daemon that responds.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return get[Status](ctx, c, "/status")
}

// History returns the accepted changes in the history, oldest first.
func (c *Client) History(ctx context.Context) ([]configs.AcceptedChange, error) {
	return get[[]configs.AcceptedChange](ctx, c, "/history")
}

// Explain returns the notes of a request from the first daemon that knows it.
func (c *Client) Explain(ctx context.Context, id gypsumshelf.RequestID) ([]attempts.Note, error) {
	return get[[]attempts.Note](ctx, c, "/explain/"+url.PathEscape(string(id)))
}

func get[T any](ctx context.Context, c *Client, path string) (out T, err error) {
	err = c.callDaemons(ctx, http.MethodGet, path, nil, func(status int, data []byte) error {
		if status != http.StatusOK {
			return decodeProblem(status, data)
		}
		return json.Unmarshal(data, &out)
	})
	return out, err
}

// decodeProblem returns the Problem in an error response.
func decodeProblem(status int, data []byte) error {
	var p Problem
	if err := json.Unmarshal(data, &p); err != nil || p.Code == "" {
		return fmt.Errorf("unexpected response with status %d and without an error code", status)
	}
	return p
}

// callDaemons calls the daemons in turn until decode accepts a response. Status
// 400 ends the calls, since every daemon would return it. Another round follows
// unless every daemon returned status 404.
func (c *Client) callDaemons(ctx context.Context, method, path string, body []byte, decode func(status int, data []byte) error) error {
	var failures []error
	for round := range maxRounds {
		failures = nil
		retry := false
		for _, address := range c.cfg.DaemonAddresses {
			status, data, err := c.callDaemon(ctx, method, address, path, body)
			if err == nil {
				err = decode(status, data)
			}
			if err == nil {
				return nil
			}
			if status == http.StatusBadRequest {
				return err
			}
			retry = retry || status != http.StatusNotFound
			failures = append(failures, fmt.Errorf("%s: %w", address, err))
		}
		if !retry || round == maxRounds-1 {
			break
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(roundInterval):
		}
	}
	return errors.Join(failures...)
}

func (c *Client) callDaemon(ctx context.Context, method, address, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}
