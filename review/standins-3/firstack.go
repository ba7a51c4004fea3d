package main

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// readTime is the time for which the configuration is read back again and again.
const readTime = 60 * time.Second

// runFirstAck takes the disks of two control machines away right after the first
// configuration was acknowledged. They come back empty at once.
func runFirstAck(rec *record, trouble bool) (int, error) {
	d, err := newDeployment(rec, 5, 1)
	if err != nil {
		return cannot, err
	}
	defer d.close()
	if err := d.start(); err != nil {
		return cannot, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	op := newOperator(d)
	if err := op.put(ctx, newConfig(1, 110)); err != nil {
		return cannot, err
	}
	rec.printf("config 1 is acknowledged")
	if trouble {
		for _, m := range d.controls[:2] {
			if err := m.wipe(); err != nil {
				return cannot, err
			}
			rec.printf("%s loses its disk", m.name)
		}
	}
	time.Sleep(2 * contactTime)
	ctx, cancel = context.WithTimeout(context.Background(), readTime)
	defer cancel()
	status, answer, err := op.call(ctx, http.MethodGet, "/api/config", nil, callTimeout)
	if err != nil {
		rec.printf("reading back: %v", err)
		rec.printf("no configuration is read back within %v", readTime)
		return broken, nil
	}
	var c config
	if err := json.Unmarshal(answer, &c); err != nil || status != http.StatusOK || c.Version != 1 {
		rec.printf("reading back: status %d, version %d, error %v", status, c.Version, err)
		return broken, nil
	}
	rec.printf("config 1 is read back")
	return held, nil
}

// wipe kills the process of the machine and empties its disk. The platform starts the
// process again.
func (m *machine) wipe() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.cmd.Process.Kill()
	data := filepath.Join(m.folder, "data")
	if err := os.Rename(data, data+"-lost"); err != nil {
		return err
	}
	return os.Mkdir(data, 0o700)
}
