package disks

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
)

// Names of the files in the data folder. Each compaction starts a new generation
// of the log, whose number is part of its file names.
const (
	identityName      = "identity"
	lockName          = "lock"
	logPrefix         = "log-"
	snapshotPrefix    = "snapshot-"
	temporarySuffix   = ".tmp"
	damagedFolderName = "damaged"
)

// DamagedError reports that stored data is lost or corrupt in a way that a crash
// during a write cannot cause. The node must not start under its old identity.
type DamagedError struct {
	File   string
	Offset int
	Reason string
}

// Error implements error.
func (e *DamagedError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %s; the daemon must join with a new incarnation", e.File, e.Offset, e.Reason)
}

// identity is the content of the identity file.
type identity struct {
	Incarnation  string `json:"incarnation"`
	FormerMember bool   `json:"former"` // an earlier incarnation in this folder was discarded
}

func newIdentity(former bool) identity {
	return identity{Incarnation: uuid.NewString(), FormerMember: former}
}

// lockFolder takes the lock that keeps other processes from using the folder.
func lockFolder(folder string) (*os.File, error) {
	file, err := os.OpenFile(filepath.Join(folder, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		file.Close()
		return nil, merry.Prependf(err, "data folder %s is in use by another process", folder)
	}
	return file, nil
}

// readIdentity returns the identity of the folder. It creates one if the folder
// has neither an identity nor a log.
func readIdentity(folder string) (identity, error) {
	path := filepath.Join(folder, identityName)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		if logs, err := logFileNames(folder); err != nil || len(logs) > 0 {
			return identity{}, errors.Join(err, &DamagedError{File: path, Reason: "identity is missing beside a log"})
		}
		id := newIdentity(false)
		return id, writeFile(path, appendRecord(nil, encodeJSON(id)))
	}
	if err != nil {
		return identity{}, err
	}
	var id identity
	payload, _, err := readRecord(data)
	if err == nil {
		err = json.Unmarshal(payload, &id)
	}
	if err != nil || id.Incarnation == "" {
		return identity{}, &DamagedError{File: path, Reason: "identity cannot be read"}
	}
	return id, nil
}

// writeFile replaces a file atomically: after a crash it has either its old or
// its new content.
func writeFile(path string, data []byte) error {
	f, err := os.OpenFile(path+temporarySuffix, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if err := errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := os.Rename(path+temporarySuffix, path); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(path))
}

// syncFolder makes the creation, renaming and removal of files in a folder durable.
func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// logFileNames returns the names of the log files, oldest first.
func logFileNames(folder string) ([]string, error) {
	files, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	var logs []string
	for _, f := range files {
		if strings.HasPrefix(f.Name(), logPrefix) && !strings.HasSuffix(f.Name(), temporarySuffix) {
			logs = append(logs, f.Name())
		}
	}
	slices.Sort(logs)
	return logs, nil
}

func logName(generation uint64) string { return fmt.Sprintf("%s%016d", logPrefix, generation) }

func snapshotName(generation uint64) string {
	return fmt.Sprintf("%s%016d", snapshotPrefix, generation)
}

// removeOtherGenerations removes temporary files and the files of all other
// generations.
func removeOtherGenerations(folder string, generation uint64) error {
	files, err := os.ReadDir(folder)
	if err != nil {
		return err
	}
	for _, f := range files {
		name := f.Name()
		owned := strings.HasPrefix(name, logPrefix) || strings.HasPrefix(name, snapshotPrefix) || strings.HasSuffix(name, temporarySuffix)
		if !owned || name == logName(generation) || name == snapshotName(generation) {
			continue
		}
		if err := os.Remove(filepath.Join(folder, name)); err != nil {
			return err
		}
	}
	return syncFolder(folder)
}

// OpenOrRenew opens a data folder. A damaged folder is given a new incarnation by
// Renew and opened again; the damage is then returned along with the store or
// the error.
func OpenOrRenew(cfg Config) (store *Store, damage *DamagedError, err error) {
	store, err = Open(cfg)
	if !errors.As(err, &damage) {
		return store, nil, err
	}
	if err := Renew(cfg.Folder); err != nil {
		return nil, damage, merry.Prepend(err, "renew damaged data folder")
	}
	store, err = Open(cfg)
	return store, damage, err
}

// Renew discards the log of a folder and gives the folder a new incarnation. No
// process may have the folder open. The files discarded by the last Renew are
// kept in the subfolder "damaged" for inspection.
func Renew(folder string) error {
	lockFile, err := lockFolder(folder)
	if err != nil {
		return err
	}
	defer lockFile.Close()
	damagedFolder := filepath.Join(folder, damagedFolderName)
	if err := os.RemoveAll(damagedFolder); err != nil {
		return err
	}
	if err := os.Mkdir(damagedFolder, 0o700); err != nil {
		return err
	}
	// The new identity is written first. A crash before that leaves the folder as
	// it was; a crash after it leaves a log of another incarnation, which Open
	// reports as damage.
	if err := writeFile(filepath.Join(folder, identityName), appendRecord(nil, encodeJSON(newIdentity(true)))); err != nil {
		return err
	}
	files, err := os.ReadDir(folder)
	if err != nil {
		return err
	}
	for _, f := range files {
		if strings.HasPrefix(f.Name(), logPrefix) || strings.HasPrefix(f.Name(), snapshotPrefix) {
			if err := os.Rename(filepath.Join(folder, f.Name()), filepath.Join(damagedFolder, f.Name())); err != nil {
				return err
			}
		}
	}
	return syncFolder(folder)
}
