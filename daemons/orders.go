package daemons

import (
	"context"
	"encoding/gob"
	"fmt"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf/engines"
	"gypsumshelf.example/gypsumshelf/logs"
	"gypsumshelf.example/gypsumshelf/placements"
)

func init() { gob.Register(placements.Report{}) }

// registerPlacementDrivers connects the effects of placement to peers and engines.
func (d *Daemon) registerPlacementDrivers() {
	RegisterDriver(d.loop, func(e placements.SendReport) { d.links.Send(e.To, e.Report) })
	RegisterDriver(d.loop, func(e placements.SendOrder) {
		s := &orderCall{daemon: d, effect: e}
		go s.run()
	})
}

// orderCall sends one order to an engine.
type orderCall struct {
	daemon *Daemon
	effect placements.SendOrder
}

// run sends the order unless the lease under which it was decided has expired,
// which can happen while this process is suspended.
func (c *orderCall) run() {
	now := c.daemon.timers.Now()
	if !c.effect.NotAfter.IsZero() && !now.Before(c.effect.NotAfter) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderSendTimeout)
	defer cancel()
	o := c.effect.Order
	err := c.daemon.engines.Order(ctx, c.effect.Address, engines.Order{
		ID:   fmt.Sprintf("%d.%s.%s", c.effect.Fencing, o.Server, o.Load),
		Kind: engines.OrderLoadModel, Target: o.Load, Replace: o.Replace, Fencing: c.effect.Fencing,
	})
	log := c.daemon.log.WithFields(logrus.Fields{logs.KeyServer: o.Server, "model": o.Load, "replaces": o.Replace})
	if err != nil {
		log.WithError(err).Warn("order to load a model was not confirmed and is sent again")
		return
	}
	log.Info("engine accepted the order to load a model")
}
