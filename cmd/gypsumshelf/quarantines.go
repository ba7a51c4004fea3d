package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"gypsumshelf.example/gypsumshelf/controls"
)

const (
	// controlCallTimeout exceeds the time for which a control daemon waits for a commit.
	controlCallTimeout = 3 * time.Second
	// maxControlResponseBytes is above the size of a full list of quarantines.
	maxControlResponseBytes = 1 << 20
)

// newQuarantines returns the commands about requests and prompt parts that crash
// backend servers.
func newQuarantines() *cobra.Command {
	var addresses []string
	list := &cobra.Command{Use: "list", Short: "List the quarantines in force", Args: cobra.NoArgs}
	list.RunE = withExitCode(func(cmd *cobra.Command, _ []string) error {
		return callControl(cmd, addresses, http.MethodGet, controls.QuarantinesPath, func(body []byte) error {
			var listed []controls.ListedQuarantine
			if err := json.Unmarshal(body, &listed); err != nil {
				return err
			}
			for _, q := range listed {
				fmt.Fprintf(cmd.OutOrStdout(), "%s  until %s\n", q.Cause, q.Until.Format(time.RFC3339))
			}
			return nil
		})
	})
	lift := &cobra.Command{Use: "lift CAUSE", Short: "Lift the quarantine of a cause, as listed or logged as crash-cause", Args: cobra.ExactArgs(1)}
	lift.RunE = withExitCode(func(cmd *cobra.Command, args []string) error {
		return callControl(cmd, addresses, http.MethodDelete, controls.QuarantinesPath+"/"+url.PathEscape(args[0]), func([]byte) error { return nil })
	})
	group := newCommandGroup("quarantines", "List and lift the quarantines of requests and prompt parts that crash backend servers", list, lift)
	group.PersistentFlags().StringSliceVar(&addresses, "control", nil, "IP:PORT of the control listener of control daemons; the first that answers is used")
	_ = group.MarkPersistentFlagRequired("control")
	return group
}

// callControl calls control daemons until one serves the call, and passes the body of
// its answer on.
func callControl(cmd *cobra.Command, addresses []string, method, path string, handle func(body []byte) error) error {
	client := &http.Client{Timeout: controlCallTimeout}
	var errs []error
	for _, address := range addresses {
		r, err := http.NewRequestWithContext(cmd.Context(), method, "http://"+address+path, nil)
		if err != nil {
			return err
		}
		status, body, err := roundTrip(client, r)
		switch {
		case err != nil:
			errs = append(errs, merry.Prepend(err, address))
		case status == http.StatusServiceUnavailable:
			errs = append(errs, fmt.Errorf("%s: %s", address, strings.TrimSpace(string(body))))
		case status >= http.StatusBadRequest:
			return fmt.Errorf("%s: status %d: %s", address, status, strings.TrimSpace(string(body)))
		default:
			return handle(body)
		}
	}
	return merry.Prepend(errors.Join(errs...), "no control daemon served the call")
}

func roundTrip(client *http.Client, r *http.Request) (int, []byte, error) {
	resp, err := client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxControlResponseBytes))
	return resp.StatusCode, body, err
}
