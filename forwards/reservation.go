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
	// reservationTTL is the time for which memory stays reserved after the last
	// renewal. It bounds how long memory stays reserved when this daemon crashes.
	reservationTTL = 3 * time.Second
	// reservationRenewPeriod allows for two lost renewals within reservationTTL.
	reservationRenewPeriod = time.Second
	// reservationTimeout is the timeout of one reserve or release call.
	reservationTimeout = 400 * time.Millisecond
	// maxReleaseAttempts limits attempts to release a reservation; after that it
	// expires.
	maxReleaseAttempts = 3
)

var errInsufficientMemory = errors.New("the engine has too little free memory")

// reservation is engine memory that stays reserved until end is called, or until the
// primary engine of the request counts as dead.
type reservation struct {
	request *proxyRequest
	watch   *primaryWatch
	server  rosters.Entry
	id      string
	tokens  int
	stop    chan struct{}
}

// reserveMemory reserves memory on an engine and renews the reservation in the
// background. The index makes the IDs of one placement's reservations unique.
func reserveMemory(ctx context.Context, watch *primaryWatch, server rosters.Entry, tokens, index int) (*reservation, error) {
	req := watch.request
	r := &reservation{request: req, watch: watch, server: server, tokens: tokens, id: string(req.meta.ID) + "-" + strconv.Itoa(len(req.triedServers)) + "-" + strconv.Itoa(index), stop: make(chan struct{})}
	ctx, cancel := context.WithTimeout(ctx, reservationTimeout)
	defer cancel()
	granted, err := req.forwarder.cfg.Protocol.Reserve(ctx, server.Address, r.id, tokens, watch.hold())
	if err == nil && !granted {
		err = errInsufficientMemory
	}
	if err != nil {
		r.logger().WithError(err).Warn("cannot reserve engine memory")
		close(r.stop)
		go r.run() // releases the memory, since the engine may have reserved it
		return nil, fmt.Errorf("%w: %w", errRejected, err)
	}
	go r.run()
	return r, nil
}

func (r *reservation) logger() *logrus.Entry {
	return r.request.forwarder.cfg.Log.WithFields(logrus.Fields{
		logs.KeyRequest: r.request.meta.ID, logs.KeyServer: r.server.ID, "hold": r.id, "tokens": r.tokens,
	})
}

func (r *reservation) end() { close(r.stop) }

// run renews the reservation until end is called, and then releases it.
func (r *reservation) run() {
	ticker := time.NewTicker(reservationRenewPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-r.stop:
			r.release()
			return
		case <-ticker.C:
		}
		hold := r.watch.hold()
		if hold < reservationTimeout {
			continue // a renewal could arrive after the time at which the memory must be free
		}
		if r.request.forwarder.cfg.Fleet.IsReplaced(r.server) {
			continue // it would reserve memory of another start, which no request uses
		}
		ctx, cancel := context.WithTimeout(context.Background(), reservationTimeout)
		_, err := r.request.forwarder.cfg.Protocol.Reserve(ctx, r.server.Address, r.id, r.tokens, hold)
		cancel()
		if err != nil {
			r.logger().WithError(err).Warn("cannot renew the reservation of engine memory")
		}
	}
}

func (r *reservation) release() {
	for range maxReleaseAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), reservationTimeout)
		err := r.request.forwarder.cfg.Protocol.Release(ctx, r.server.Address, r.id)
		cancel()
		if err == nil {
			return
		}
		r.logger().WithError(err).Warn("cannot release the reservation of engine memory")
	}
}
