package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["evacuation"] = playEvacuation }

const (
	// evacuateBound is evacuateMs of the site.
	evacuateBound = 5 * time.Second
	// returnTime is the time for which the zone is back in service.
	returnTime = time.Second
	// evacuationRounds is the number of suspensions, of about 2 s each.
	evacuationRounds = 3
)

// playEvacuation evacuates a zone, takes it back and evacuates it again. With the
// disruption, one control machine that does not lead is suspended meanwhile, and is the
// first that gets the order to take the zone back.
func playEvacuation(d *deployment, trouble bool) error {
	if err := d.startAll(); err != nil {
		return err
	}
	for round := range evacuationRounds {
		if err := d.evacuateTwice(round, trouble); err != nil {
			return err
		}
	}
	return nil
}

// evacuateTwice is one round of the case.
func (d *deployment) evacuateTwice(round int, trouble bool) error {
	leader := d.leader()
	if leader == nil {
		return fmt.Errorf("no leader")
	}
	var others []*machine
	for _, m := range d.controls {
		if m != leader {
			others = append(others, m)
		}
	}
	sound := []*machine{others[(round+1)%4], others[(round+2)%4], others[(round+3)%4], leader}
	s, err := d.newSuspension(others[round%4])
	if err != nil {
		return err
	}
	defer s.close()
	// The operator has a channel to the machine from its first order on.
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	evacuation := evacuationPath + zones[0]
	if status := d.orderThrough(s, client, http.MethodPost, evacuation); status != http.StatusOK {
		return fmt.Errorf("the first evacuation is answered with %d", status)
	}
	if trouble {
		s.suspend()
	}
	if d.orderThrough(s, client, http.MethodDelete, evacuation) != http.StatusOK {
		client.CloseIdleConnections()
		if _, err := d.orderUntilDone(sound, http.MethodDelete, evacuation, "", 5*time.Second); err != nil {
			return err
		}
	}
	time.Sleep(returnTime)
	acked, err := d.orderUntilDone(sound[1:], http.MethodPost, evacuation, "", 5*time.Second)
	if err != nil {
		return err
	}
	d.rec.printf("the evacuation of %s is acknowledged", zones[0])
	if trouble {
		s.resume()
	}
	return d.judgeEvacuation(round, sound, acked)
}

// judgeEvacuation looks whether requests reach runners of the zone that was evacuated. The
// machine has been back since the acknowledgement, so that the core is stable again, for
// contactMs, before evacuateMs have passed.
func (d *deployment) judgeEvacuation(round int, sound []*machine, acked time.Time) error {
	judged := acked.Add(evacuateBound)
	time.Sleep(time.Until(judged))
	for i := 0; time.Now().Before(judged.Add(time.Second)); i++ {
		d.send(d.entries[i%2], http.MethodGet, "/lookup/2f", fmt.Sprintf("r%d-q%d", round, i), time.Second, nil)
	}
	if runs := d.runsIn(zones[0], judged); len(runs) > 0 {
		return brokenf("EVAC: %d requests reached runners of %s more than %v after its evacuation was acknowledged, the first, %s, after %v",
			len(runs), zones[0], evacuateBound, runs[0].id, runs[0].at.Sub(acked).Round(time.Millisecond))
	}
	_, err := d.orderUntilDone(sound, http.MethodDelete, evacuationPath+zones[0], "", 5*time.Second)
	return err
}
