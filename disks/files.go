package disks

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"github.com/google/uuid"
)

// File is an open file of a data folder.
type File interface {
	io.ReadWriteCloser
	Sync() error
	Fd() uintptr
}

// OpenFile opens a file like os.OpenFile.
type OpenFile func(name string, flag int, perm fs.FileMode) (File, error)

// errLocked reports that another process uses a data folder.
var errLocked = errors.New("data folder is in use by another process")

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

// files accesses the files of a data folder.
type files struct {
	folder string
	open   OpenFile
}

func newFiles(cfg Config) files {
	if cfg.OpenFile != nil {
		return files{folder: cfg.Folder, open: cfg.OpenFile}
	}
	return files{folder: cfg.Folder, open: func(name string, flag int, perm fs.FileMode) (File, error) {
		file, err := os.OpenFile(name, flag, perm)
		if err != nil {
			return nil, err
		}
		return file, nil
	}}
}

func (f files) path(name string) string { return filepath.Join(f.folder, name) }

// lock takes the lock that keeps other processes from using the folder.
func (f files) lock() (File, error) {
	file, err := f.open(f.path(lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return file, nil
	}
	if errors.Is(err, syscall.EWOULDBLOCK) {
		err = fmt.Errorf("%s: %w", f.folder, errLocked)
	}
	return nil, errors.Join(err, file.Close())
}

func (f files) read(name string) ([]byte, error) {
	file, err := f.open(f.path(name), os.O_RDONLY, 0)
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(file)
	return data, errors.Join(err, file.Close())
}

// write replaces a file atomically: after a crash it has either its old or its new
// content. A failed write leaves no temporary file that would take space.
func (f files) write(name string, data []byte) error {
	temporary := f.path(name + temporarySuffix)
	file, err := f.open(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if err := errors.Join(err, file.Close()); err != nil {
		return errors.Join(err, os.Remove(temporary))
	}
	if err := os.Rename(temporary, f.path(name)); err != nil {
		return errors.Join(err, os.Remove(temporary))
	}
	return f.sync(f.folder)
}

// sync makes the creation, renaming and removal of files in a folder durable.
func (f files) sync(folder string) error {
	file, err := f.open(folder, os.O_RDONLY, 0)
	if err != nil {
		return err
	}
	return errors.Join(file.Sync(), file.Close())
}

// probe writes and removes a small file.
func (f files) probe() error {
	if err := os.MkdirAll(f.folder, 0o700); err != nil {
		return err
	}
	file, err := f.open(f.path(probeName+temporarySuffix), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(make([]byte, probeSize))
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close(), os.Remove(f.path(probeName+temporarySuffix)))
}

// remove removes the files whose names pass a test.
func (f files) remove(test func(name string) bool) error {
	entries, err := os.ReadDir(f.folder)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if test(e.Name()) {
			if err := os.Remove(f.path(e.Name())); err != nil {
				return err
			}
		}
	}
	return f.sync(f.folder)
}

// removeLeftovers removes temporary files, and snapshots of generations after the
// given one, whose log was never written.
func (f files) removeLeftovers(generation uint64) error {
	return f.remove(func(name string) bool {
		return strings.HasSuffix(name, temporarySuffix) || strings.HasPrefix(name, snapshotPrefix) && name > snapshotName(generation)
	})
}

// removeOtherGenerations removes the files of all other generations.
func (f files) removeOtherGenerations(generation uint64) error {
	return f.remove(func(name string) bool {
		return isGenerational(name) && name != logName(generation) && name != snapshotName(generation)
	})
}

// readIdentity returns the identity of the folder. It creates one if the folder has
// neither an identity nor a log, and is not known to have had one.
func (f files) readIdentity(known Known) (identity, error) {
	path := f.path(identityName)
	data, err := f.read(identityName)
	if errors.Is(err, fs.ErrNotExist) {
		logs, err := logFileNames(f.folder)
		if err != nil {
			return identity{}, err
		}
		if len(logs) > 0 || known.incarnation != "" {
			return identity{}, &DamagedError{File: path, Reason: "identity is missing"}
		}
		id := newIdentity(known.former)
		return id, f.write(identityName, appendRecord(nil, encodeJSON(id)))
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
	if known.incarnation != "" && known.incarnation != id.Incarnation {
		return identity{}, &DamagedError{File: path, Reason: fmt.Sprintf("identity is %s, was %s", id.Incarnation, known.incarnation)}
	}
	return id, nil
}

// renew discards the log of a folder and gives the folder a new incarnation. No
// process may have the folder open. The files discarded by the last renew are kept in
// the subfolder "damaged" for inspection.
func renew(cfg Config) error {
	f := newFiles(cfg)
	if err := os.MkdirAll(f.folder, 0o700); err != nil {
		return err
	}
	lockFile, err := f.lock()
	if err != nil {
		return err
	}
	return errors.Join(f.renew(), lockFile.Close())
}

func (f files) renew() error {
	if err := f.discardDamaged(); err != nil {
		return err
	}
	if err := os.Mkdir(f.path(damagedFolderName), 0o700); err != nil {
		return err
	}
	// The new identity is written first. A crash before that leaves the folder as
	// it was; a crash after it leaves a log of another incarnation, which Open
	// reports as damage.
	if err := f.write(identityName, appendRecord(nil, encodeJSON(newIdentity(true)))); err != nil {
		return err
	}
	entries, err := os.ReadDir(f.folder)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if isGenerational(e.Name()) {
			if err := os.Rename(f.path(e.Name()), filepath.Join(f.path(damagedFolderName), e.Name())); err != nil {
				return err
			}
		}
	}
	return f.sync(f.folder)
}

// discardDamaged removes the files that the last renew has kept.
func (f files) discardDamaged() error { return os.RemoveAll(f.path(damagedFolderName)) }

// isGenerational reports whether a file belongs to a generation.
func isGenerational(name string) bool {
	return strings.HasPrefix(name, logPrefix) || strings.HasPrefix(name, snapshotPrefix)
}

// logFileNames returns the names of the log files, oldest first.
func logFileNames(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	var logs []string
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), logPrefix) && !strings.HasSuffix(e.Name(), temporarySuffix) {
			logs = append(logs, e.Name())
		}
	}
	slices.Sort(logs)
	return logs, nil
}

func logName(generation uint64) string { return fmt.Sprintf("%s%016d", logPrefix, generation) }

func snapshotName(generation uint64) string {
	return fmt.Sprintf("%s%016d", snapshotPrefix, generation)
}
