package directory

import (
	"errors"
	"fmt"
	"net/netip"
)

// Exit records that a target has announced its exit and that its daemon has acknowledged
// that. The daemon's next process must not use the target again, even if a heartbeat arrives
// late that the target sent before. The entry is separate from that of the member, which the
// daemon removes when it leaves.
type Exit struct {
	// Address is the address of the member beside the target.
	Address netip.AddrPort `json:"address"`
	// Instance is the ID of the target. A process with this ID that started after Born, in
	// Unix milliseconds, is another one.
	Instance string `json:"instance"`
	Born     int64  `json:"born_ms"`
}

const exitPrefix = "exit/"

// exitKey returns the entry key of the exit of the target beside the member at addr.
func exitKey(addr netip.AddrPort) string { return exitPrefix + addr.String() }

// PutEntry returns the entry that stores x.
func (x Exit) PutEntry() Entry { return Entry{Key: exitKey(x.Address), Value: encode(x)} }

// DeleteEntry returns the entry that removes x.
func (x Exit) DeleteEntry() Entry { return Entry{Key: exitKey(x.Address)} }

// Covers reports whether x is the exit of the process instance that started at born.
func (x Exit) Covers(instance string, born int64) bool {
	return x.Instance != "" && x.Instance == instance && born <= x.Born
}

// decodeExit returns the exit that e defines. The error says why it defines none.
func decodeExit(e Entry) (Exit, error) {
	var x Exit
	if err := unmarshal(e.Value, &x); err != nil {
		return Exit{}, err
	}
	switch {
	case !isAddress(x.Address):
		return Exit{}, fmt.Errorf("exit has no address and port: %v", x.Address)
	case exitKey(x.Address) != e.Key:
		return Exit{}, fmt.Errorf("entry of the exit at %v has another key", x.Address)
	case x.Instance == "":
		return Exit{}, errors.New("exit names no target")
	}
	return x, nil
}

// ExitAt returns the announced exit of the target beside the member at addr, or the zero Exit
// if there is none.
func (d *Directory) ExitAt(addr netip.AddrPort) Exit { return d.exits[addr] }
