// Package logs writes JSON log lines and reads them back for one request.
package logs

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf"
)

// Keys of the fields in log lines.
const (
	KeyDaemon   = "daemon"
	KeyRequest  = "request-id"
	KeyAttempt  = "attempt-id"
	KeyServer   = "backend-server"
	KeyRevision = "revision"
	KeyVerdict  = "verdict"
	KeyCode     = "code"
)

// Config configures a logger.
type Config struct {
	Writer io.Writer
	Level  string // debug, info, warn or error
	Daemon gypsumshelf.DaemonID
}

// New returns a logger that adds the daemon's ID to each line.
func New(cfg Config) (*logrus.Entry, error) {
	level, err := logrus.ParseLevel(cfg.Level)
	if err != nil {
		return nil, err
	}
	l := logrus.New()
	l.SetOutput(cfg.Writer)
	l.SetLevel(level)
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return l.WithField(KeyDaemon, cfg.Daemon), nil
}
