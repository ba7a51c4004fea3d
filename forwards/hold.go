package forwards

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf/logs"
	"gypsumshelf.example/gypsumshelf/rosters"
)

const (
	// holdTime is the time for which memory stays reserved after the last
	// renewal. It bounds what is lost with this daemon.
	holdTime = 3 * time.Second
	// renewPeriod leaves time for two renewals that are lost.
	renewPeriod = time.Second
	// orderTimeout is the time after which an order without an answer is given up.
	orderTimeout = 400 * time.Millisecond
	// releaseTries bounds how often a release is repeated; after that the
	// reservation ends by itself.
	releaseTries = 3
)

var errNoMemory = errors.New("the engine has not the memory")

// hold is memory that is reserved on an engine until end is called.
type hold struct {
	delivery *delivery
	server   rosters.Known
	id       string
	tokens   int
	stop     chan struct{}
}

// reserve reserves memory and keeps it reserved.
func reserve(ctx context.Context, d *delivery, k rosters.Known, tokens, n int) (*hold, error) {
	h := &hold{delivery: d, server: k, tokens: tokens, id: string(d.meta.ID) + "-" + strconv.Itoa(len(d.tried)) + "-" + strconv.Itoa(n), stop: make(chan struct{})}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	granted, err := d.forwarder.cfg.Protocol.Reserve(ctx, k.Address, h.id, tokens, holdTime)
	if err == nil && !granted {
		err = errNoMemory
	}
	if err != nil {
		h.log().WithError(err).Warn("memory could not be reserved")
		close(h.stop)
		go h.run() // the order may have been carried out
		return nil, fmt.Errorf("%w: %w", errRejected, err)
	}
	go h.run()
	return h, nil
}

func (h *hold) log() *logrus.Entry {
	return h.delivery.forwarder.cfg.Log.WithFields(logrus.Fields{
		logs.KeyRequest: h.delivery.meta.ID, logs.KeyServer: h.server.ID, "hold": h.id, "tokens": h.tokens,
	})
}

func (h *hold) end() { close(h.stop) }

// run renews the reservation until it is ended, and then releases it.
func (h *hold) run() {
	ticker := time.NewTicker(renewPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-h.stop:
			h.release()
			return
		case <-ticker.C:
		}
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		_, err := h.delivery.forwarder.cfg.Protocol.Reserve(ctx, h.server.Address, h.id, h.tokens, holdTime)
		cancel()
		if err != nil {
			h.log().WithError(err).Warn("a reservation was not renewed")
		}
	}
}

func (h *hold) release() {
	for range releaseTries {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		err := h.delivery.forwarder.cfg.Protocol.Release(ctx, h.server.Address, h.id)
		cancel()
		if err == nil {
			return
		}
		h.log().WithError(err).Warn("a reservation was not released")
	}
}
