package metrics

import (
	"io"
	"syscall"
	"testing"

	"github.com/sirupsen/logrus"

	"gypsumshelf.example/gypsumshelf/disks"
)

// Guards against a daemon without a working disk that looks well in its metrics.
func TestFailedDataFolderShowsInMetrics(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r, h := New(), disks.NewHealth(logrus.NewEntry(log))
	r.RecordDataFolder(h)
	assertScraped(t, r, "gypsumshelf_data_folder_serves 1", `gypsumshelf_data_folder_failures_total{cause="full"} 0`)
	h.RecordFailure(syscall.ENOSPC)
	assertScraped(t, r, "gypsumshelf_data_folder_serves 0", `gypsumshelf_data_folder_failures_total{cause="full"} 1`)
	h.RecordService()
	assertScraped(t, r, "gypsumshelf_data_folder_serves 1", `gypsumshelf_data_folder_failures_total{cause="full"} 1`)
}
