package acceptor

import (
	"fmt"
	"slices"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/pkg/errors"

	"drumstall.example/internal/kernel/wire"
)

// format is how data folders are written now. A change that an earlier version
// cannot read raises it.
const folderFormat = 1

// Whose says to which node of which fleet a data folder belongs.
type FolderOwner struct {
	Fleet  string `cbor:"1,keyasint"`
	Node   string `cbor:"2,keyasint"`
	Format int    `cbor:"3,keyasint"`
}

var keyFolderOwner = []byte("m/whose")

// Why no word of a backup anywhere below: an older copy of a voter's folder has forgotten what it promised and kept since,
// and a majority with it in may miss what was acknowledged.

// looksRight refuses a folder in which something lies that is not ours, or of
// which the part is missing that tells pebble what the rest is. Why: pebble would start a new, empty store beside it.
func checkFolder(fs vfs.FS, folder string) error {
	names, err := fs.List(folder)
	if err != nil || len(names) == 0 {
		return nil // it is made anew
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

// makingMark lies in a data folder from before anything else does until the store in it is whole. Why: a
// process that is killed meanwhile leaves a folder that pebble cannot read and that holds nothing of worth.
const initMarker = "making"

// beginMaking marks an empty folder as one in which a store is being made, and empties one in which that was
// broken off. A folder that is not marked is left as it is. It says whether a store is to be made.
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
		// Why: the mark goes last of all, by endMaking.
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
	if closing := mark.Close(); err == nil {
		err = closing
	}
	if err != nil {
		return false, err
	}
	return true, syncFolder(fs, folder)
}

// endMaking takes the mark away for good. Nothing may be kept in the store before.
func finishInit(fs vfs.FS, folder string) error {
	if err := fs.Remove(fs.PathJoin(folder, initMarker)); err != nil {
		return err
	}
	return syncFolder(fs, folder)
}

// syncFolder makes the names in a folder last.
func syncFolder(fs vfs.FS, folder string) error {
	dir, err := fs.OpenDir(folder)
	if err != nil {
		return err
	}
	err = dir.Sync()
	if closing := dir.Close(); err == nil {
		err = closing
	}
	return err
}

// claim makes sure that the folder is this node's, and takes one that is nobody's yet.
func (a *Acceptor) claimFolder(whose FolderOwner) error {
	whose.Format = folderFormat
	var kept FolderOwner
	found, err := a.read(keyFolderOwner, &kept)
	refuse := func(why, todo string) error {
		return errors.Wrap(ErrFolder, fmt.Sprintf("%s %s; %s", a.folder, why, todo))
	}
	switch {
	case err != nil:
		return refuse("is damaged: "+err.Error(), "move it away and start this core with an empty one, as a new member")
	case !found:
		if err := a.db.Set(keyFolderOwner, wire.Pack(whose), pebble.Sync); err != nil {
			return refuse("cannot be written: "+err.Error(), "look at the disk")
		}
	case kept.Format > folderFormat:
		return refuse(fmt.Sprintf("is written in format %d and this version reads up to %d", kept.Format, folderFormat), "start the newer version again")
	case kept.Fleet != whose.Fleet:
		return refuse("belongs to the fleet "+kept.Fleet+", not "+whose.Fleet, "set --fleet or --folder right")
	case kept.Node != whose.Node:
		return refuse("belongs to the node "+kept.Node+", not "+whose.Node, "set --name or --folder right")
	}
	return nil
}
