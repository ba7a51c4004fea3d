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
	reservationTTL = 3 * time.Second
	// renewPeriod leaves time for two renewals that are lost.
	reservationRenewPeriod = time.Second
	// orderTimeout is the time after which an order without an answer is given up.
	reservationTimeout = 400 * time.Millisecond
	// releaseTries bounds how often a release is repeated; after that the
	// reservation ends by itself.
	maxReleaseAttempts = 3
)

var errInsufficientMemory = errors.New("the engine has not the memory")

// hold is memory that is reserved on an engine until end is called.
type reservation struct {
	request *proxyRequest
	server  rosters.Known
	id      string
	tokens  int
	stop    chan struct{}
}

// reserve reserves memory and keeps it reserved.
func reserveMemory(ctx context.Context, req *proxyRequest, k rosters.Known, tokens, n int) (*reservation, error) {
	h := &reservation{request: req, server: k, tokens: tokens, id: string(req.meta.ID) + "-" + strconv.Itoa(len(req.triedServers)) + "-" + strconv.Itoa(n), stop: make(chan struct{})}
	ctx, cancel := context.WithTimeout(ctx, reservationTimeout)
	defer cancel()
	granted, err := req.forwarder.cfg.Protocol.Reserve(ctx, k.Address, h.id, tokens, reservationTTL)
	if err == nil && !granted {
		err = errInsufficientMemory
	}
	if err != nil {
		h.logger().WithError(err).Warn("memory could not be reserved")
		close(h.stop)
		go h.run() // the order may have been carried out
		return nil, fmt.Errorf("%w: %w", errRejected, err)
	}
	go h.run()
	return h, nil
}

func (h *reservation) logger() *logrus.Entry {
	return h.request.forwarder.cfg.Log.WithFields(logrus.Fields{
		logs.KeyRequest: h.request.meta.ID, logs.KeyServer: h.server.ID, "hold": h.id, "tokens": h.tokens,
	})
}

func (h *reservation) end() { close(h.stop) }

// run renews the reservation until it is ended, and then releases it.
func (h *reservation) run() {
	ticker := time.NewTicker(reservationRenewPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-h.stop:
			h.release()
			return
		case <-ticker.C:
		}
		ctx, cancel := context.WithTimeout(context.Background(), reservationTimeout)
		_, err := h.request.forwarder.cfg.Protocol.Reserve(ctx, h.server.Address, h.id, h.tokens, reservationTTL)
		cancel()
		if err != nil {
			h.logger().WithError(err).Warn("a reservation was not renewed")
		}
	}
}

func (h *reservation) release() {
	for range maxReleaseAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), reservationTimeout)
		err := h.request.forwarder.cfg.Protocol.Release(ctx, h.server.Address, h.id)
		cancel()
		if err == nil {
			return
		}
		h.logger().WithError(err).Warn("a reservation was not released")
	}
}
