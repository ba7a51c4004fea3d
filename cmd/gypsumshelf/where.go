package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"gypsumshelf.example/gypsumshelf/forwards"
	"gypsumshelf.example/gypsumshelf/gateways"
)

const (
	// whereTimeout exceeds the time for which an entry daemon waits for the leader.
	whereTimeout = 3 * time.Second
	// maxWhereBytes is above the size of an answer with 10,000 backend servers.
	maxWhereBytes = 4 << 20
)

// errNoRoute selects the exit code exitUsage.
var errNoRoute = errors.New("no route matches")

func newWhere() *cobra.Command {
	var request forwards.PreviewRequest
	var server, format string
	cmd := &cobra.Command{
		Use:   "where --host HOST --path PATH --server IP:PORT",
		Short: "Ask an entry daemon where a request would go now, and why; the request is not sent",
		Long: "Ask an entry daemon, at its metrics address, where a request would go now, and why. The request\n" +
			"is not sent. The exit status is 1 when the daemon does not answer, and 2 when no route matches.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			err := runWhere(cmd, server, format, request)
			if err != nil && !errors.Is(err, errNoRoute) {
				return executionError{err}
			}
			return err
		},
	}
	f := cmd.Flags()
	f.StringVar(&request.Host, "host", "", "host name of the request")
	f.StringVar(&request.Path, "path", "", "path of the request")
	f.IntVar(&request.PromptTokens, "tokens", 0, "tokens of the prompt, 0 for the mean of the service")
	f.IntVar(&request.AnswerTokens, "answer", 0, "maximum tokens of the answer, 0 for twice the mean of the service")
	f.StringVar(&request.Workspace, "workspace", "", "workspace of the caller")
	f.StringVar(&server, "server", "", "IP:PORT of the metrics address of an entry daemon")
	f.StringVar(&format, "format", "table", "table or json")
	for _, name := range []string{"host", "path", "server"} {
		_ = cmd.MarkFlagRequired(name)
	}
	return cmd
}

func runWhere(cmd *cobra.Command, server, format string, request forwards.PreviewRequest) error {
	if format != "table" && format != "json" {
		return fmt.Errorf("the format is %q, want table or json", format)
	}
	query := url.Values{}
	query.Set(gateways.ParameterHost, request.Host)
	query.Set(gateways.ParameterPath, request.Path)
	query.Set(gateways.ParameterTokens, strconv.Itoa(request.PromptTokens))
	query.Set(gateways.ParameterAnswer, strconv.Itoa(request.AnswerTokens))
	query.Set(gateways.ParameterWorkspace, request.Workspace)
	r, err := http.NewRequestWithContext(cmd.Context(), http.MethodGet, "http://"+server+gateways.WherePath+"?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	resp, err := (&http.Client{Timeout: whereTimeout}).Do(r)
	if err != nil {
		return merry.Prepend(err, "no daemon answers")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWhereBytes))
	if err != nil {
		return merry.Prepend(err, "no daemon answers")
	}
	text := strings.TrimSpace(string(body))
	switch {
	case resp.StatusCode == http.StatusNotFound && text == forwards.ErrNoRoute.Error():
		return fmt.Errorf("%w: host %q and path %q", errNoRoute, request.Host, request.Path)
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("%s: status %d: %s", server, resp.StatusCode, text)
	}
	var preview forwards.Preview
	if err := json.Unmarshal(body, &preview); err != nil {
		return merry.Prepend(err, "the answer cannot be read")
	}
	if format == "json" {
		enc := json.NewEncoder(cmd.OutOrStdout())
		enc.SetIndent("", "  ")
		return enc.Encode(preview)
	}
	return writePreview(cmd.OutOrStdout(), preview)
}

func writePreview(w io.Writer, p forwards.Preview) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "route\t%s\nservice\t%s\n", p.Route, p.Service)
	fmt.Fprintf(t, "decided by\t%s\n", strings.TrimSpace(p.DecidedBy+" "+p.Scheduler))
	fmt.Fprintf(t, "decision\t%s\n", strings.TrimSpace(p.Decision+" "+p.Reason))
	if p.Server != "" {
		fmt.Fprintf(t, "server\t%s\nhelpers\t%v\npredicted first event\t%d ms\n", p.Server, p.Helpers, p.PredictedFirstMs)
	}
	fmt.Fprintf(t, "target\t%d ms, pauses up to %d ms\nwaiting jobs\t%d\nage of the state\t%d ms\n\n", p.TargetMs, p.GapTargetMs, p.Waiting, p.StateAgeMs)
	if err := t.Flush(); err != nil {
		return err
	}
	t = tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "server\tdata-centre\tpredicted-first-ms\tpause-ms\tactive\tslots\tload-age-ms\texcluded")
	for _, c := range p.Candidates {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", c.Server, c.DataCentre, optional(c.PredictedFirstMs), optional(c.PauseMs), c.Active, c.Slots, optional(c.LoadAgeMs), c.Excluded)
	}
	return t.Flush()
}

// optional formats a number that may be unknown.
func optional(n *int64) string {
	if n == nil {
		return "-"
	}
	return strconv.FormatInt(*n, 10)
}
