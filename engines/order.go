package engines

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// Order is an order to an engine to load a model, with the fencing number of the
// leader that issued it.
type Order struct {
	ID      string `json:"order"`
	Kind    string `json:"kind"` // OrderLoadModel
	Target  string `json:"target"`
	Replace string `json:"replace,omitempty"` // model to unload to make room
	Fencing uint64 `json:"fencing"`
}

// OrderLoadModel is the kind of an order to load a model.
const OrderLoadModel = "load-model"

// Order sends an order to an engine. After an error, the engine may still carry
// out the order.
func (c *Client) Order(ctx context.Context, address string, order Order) error {
	data, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("order %s cannot be encoded: %w", order.ID, err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/orders", bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("request for an order to %s cannot be created: %w", address, err)
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.freshHTTP.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		return fmt.Errorf("engine at %s answered an order with status %d: %s", address, resp.StatusCode, bytes.TrimSpace(text))
	}
	return nil
}
