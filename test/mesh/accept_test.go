package mesh

import (
	"errors"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"
)

// TestCallersWhileAddressIsInUse guards against a daemon that waits at its start for one address and leaves the connections
// of callers at another without an answer meanwhile.
func TestCallersWhileAddressIsInUse(t *testing.T) {
	const occupied = 2 * time.Second
	f := start(t, 2, 1)
	vm := f.VMs[1]
	vm.Kill()
	listener, err := net.Listen("tcp", vm.HeartbeatAddress().String())
	if err != nil {
		t.Fatal(err)
	}
	if err := vm.StartDaemon(); err != nil {
		t.Fatal(err)
	}
	for begin := time.Now(); time.Since(begin) < occupied; time.Sleep(50 * time.Millisecond) {
		for _, addr := range []netip.AddrPort{vm.CallerAddress(), vm.DaemonAddress()} {
			conn, err := net.Dial("tcp", addr.String())
			if err == nil {
				_ = conn.Close()
				t.Errorf("%s accepts a connection %v after the start", addr, time.Since(begin).Round(time.Millisecond))
			} else if !errors.Is(err, syscall.ECONNREFUSED) {
				t.Error(err)
			}
		}
	}
	_ = listener.Close()
	f.waitReady(vm)
	f.waitAllKeysServed(vm)
}
