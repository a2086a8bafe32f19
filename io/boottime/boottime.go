// Package boottime reads the clock that leases are counted on.
//
// The clock is CLOCK_BOOTTIME, which unlike the monotonic clock of package time
// also counts the time that a VM is suspended: a daemon that wakes must find
// its lease lapsed.
//
// # Usage
//
//	now := boottime.Now()
//	lapsed := now.Sub(sentAt) > lease.Duration
package boottime

import (
	"fmt"
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as a time since the Unix epoch. It has no
// relation to the time of day and is comparable only on the same VM.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(fmt.Sprintf("read CLOCK_BOOTTIME: %v", err))
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

// BootID returns the identifier of the VM's present boot.
func BootID() (string, error) {
	const path = "/proc/sys/kernel/random/boot_id"
	data, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("read boot id: %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}
