package acceptor

import (
	"fmt"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/pkg/errors"

	"drumstall.example/internal/kernel/wire"
)

// format is how data folders are written now. A change that an earlier version
// cannot read raises it.
const format = 1

// Whose says to which node of which fleet a data folder belongs.
type Whose struct {
	Fleet  string `cbor:"1,keyasint"`
	Node   string `cbor:"2,keyasint"`
	Format int    `cbor:"3,keyasint"`
}

var keyWhose = []byte("m/whose")

// Why no word of a backup anywhere below: an older copy of a voter's folder has forgotten what it promised and kept since,
// and a majority with it in may miss what was acknowledged.

// looksRight refuses a folder in which something lies that is not ours, or of
// which the part is missing that tells pebble what the rest is. Why: pebble would start a new, empty store beside it.
func looksRight(fs vfs.FS, folder string) error {
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

// claim makes sure that the folder is this node's, and takes one that is nobody's yet.
func (a *Acceptor) claim(whose Whose) error {
	whose.Format = format
	var kept Whose
	found, err := a.read(keyWhose, &kept)
	refuse := func(why, todo string) error {
		return errors.Wrap(ErrFolder, fmt.Sprintf("%s %s; %s", a.folder, why, todo))
	}
	switch {
	case err != nil:
		return refuse("is damaged: "+err.Error(), "move it away and start this core with an empty one, as a new member")
	case !found:
		if err := a.db.Set(keyWhose, wire.Pack(whose), pebble.Sync); err != nil {
			return refuse("cannot be written: "+err.Error(), "look at the disk")
		}
	case kept.Format > format:
		return refuse(fmt.Sprintf("is written in format %d and this version reads up to %d", kept.Format, format), "start the newer version again")
	case kept.Fleet != whose.Fleet:
		return refuse("belongs to the fleet "+kept.Fleet+", not "+whose.Fleet, "set --fleet or --folder right")
	case kept.Node != whose.Node:
		return refuse("belongs to the node "+kept.Node+", not "+whose.Node, "set --name or --folder right")
	}
	return nil
}
