package acceptor

import (
	"fmt"
	"slices"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/pkg/errors"

	"drumstall.example/internal/kernel/wire"
)

// folderFormat is the format version of data folders. It increases with every change
// that earlier versions cannot read.
const folderFormat = 1

// FolderOwner records which node of which fleet a data folder belongs to, and its format version.
type FolderOwner struct {
	Fleet  string `cbor:"1,keyasint"`
	Node   string `cbor:"2,keyasint"`
	Format int    `cbor:"3,keyasint"`
}

var keyFolderOwner = []byte("m/whose")

// The error messages below never suggest restoring a backup: an older copy of a voter's folder lacks the promises and records
// stored since, and a majority that includes it may miss acknowledged writes.

// checkFolder returns an error for a folder with foreign files, or without the
// files that pebble needs to find its store. Pebble would create a new, empty store in such a folder.
func checkFolder(fs vfs.FS, folder string) error {
	names, err := fs.List(folder)
	if err != nil || len(names) == 0 {
		return nil // pebble creates a new store
	}
	desc, err := pebble.Peek(folder, fs)
	if err != nil {
		return errors.Wrapf(ErrFolder, "%s is damaged: %v; move it away and start this core with an empty one, as a new member", folder, err)
	}
	if !desc.Exists {
		return errors.Wrapf(ErrFolder, "%s is not empty and holds no data of ours, or its index is lost (%s lies there); "+
			"name an empty folder, with which this core comes as a new member", folder, names[0])
	}
	return nil
}

// initMarker is the name of a file that exists in a data folder during its initialization: it is created first
// and removed last. A process killed in between leaves a folder that pebble cannot read and that holds no needed data.
const initMarker = "making"

// beginInit creates the marker in an empty folder, and clears a folder whose initialization was
// interrupted. A non-empty folder without the marker is left unchanged. It reports whether a store must be created.
func beginInit(fs vfs.FS, folder string) (bool, error) {
	if err := fs.MkdirAll(folder, 0o755); err != nil {
		return false, err
	}
	names, err := fs.List(folder)
	if err != nil {
		return false, err
	}
	if len(names) > 0 && !slices.Contains(names, initMarker) {
		return false, nil
	}
	for _, name := range names {
		// finishInit removes the marker, after everything else is in place.
		if name == initMarker {
			continue
		}
		if err := fs.RemoveAll(fs.PathJoin(folder, name)); err != nil {
			return false, err
		}
	}
	mark, err := fs.Create(fs.PathJoin(folder, initMarker), vfs.WriteCategoryUnspecified)
	if err != nil {
		return false, err
	}
	err = mark.Sync()
	if closeErr := mark.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return false, err
	}
	return true, syncFolder(fs, folder)
}

// finishInit removes the marker durably. No votes may be stored before that.
func finishInit(fs vfs.FS, folder string) error {
	if err := fs.Remove(fs.PathJoin(folder, initMarker)); err != nil {
		return err
	}
	return syncFolder(fs, folder)
}

// syncFolder syncs a directory, so that created and removed entries are durable.
func syncFolder(fs vfs.FS, folder string) error {
	dir, err := fs.OpenDir(folder)
	if err != nil {
		return err
	}
	err = dir.Sync()
	if closeErr := dir.Close(); err == nil {
		err = closeErr
	}
	return err
}

// claimFolder checks that the folder belongs to this node, and records this node as the owner of a new folder.
func (a *Acceptor) claimFolder(want FolderOwner) error {
	want.Format = folderFormat
	var stored FolderOwner
	found, err := a.read(keyFolderOwner, &stored)
	refuse := func(problem, action string) error {
		return errors.Wrap(ErrFolder, fmt.Sprintf("%s %s; %s", a.folder, problem, action))
	}
	switch {
	case err != nil:
		return refuse("is damaged: "+err.Error(), "move it away and start this core with an empty one, as a new member")
	case !found:
		if err := a.db.Set(keyFolderOwner, wire.Marshal(want), pebble.Sync); err != nil {
			return refuse("cannot be written: "+err.Error(), "look at the disk")
		}
	case stored.Format > folderFormat:
		return refuse(fmt.Sprintf("is written in format %d and this version reads up to %d", stored.Format, folderFormat), "start the newer version again")
	case stored.Fleet != want.Fleet:
		return refuse("belongs to the fleet "+stored.Fleet+", not "+want.Fleet, "set --fleet or --folder right")
	case stored.Node != want.Node:
		return refuse("belongs to the node "+stored.Node+", not "+want.Node, "set --name or --folder right")
	}
	return nil
}
