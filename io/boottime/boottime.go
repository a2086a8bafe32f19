// Package boottime reads the clock that times leases.
//
// The clock is CLOCK_BOOTTIME. Unlike the monotonic clock of package time, it also
// advances while the VM is suspended. A daemon whose VM is resumed must see that
// its lease has lapsed in the meantime.
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

// Now returns the time since boot, expressed as a time since the Unix epoch. It is
// not related to the time of day, and times of different VMs or of different boots
// of a VM cannot be compared. It panics if the clock cannot be read.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(fmt.Sprintf("read CLOCK_BOOTTIME: %v", err))
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

// BootID returns the ID of the VM's current boot. It returns an error if the ID
// cannot be read from /proc.
func BootID() (string, error) {
	const path = "/proc/sys/kernel/random/boot_id"
	data, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("read boot ID: %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}
