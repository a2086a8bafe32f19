package integration

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"siskinknot/standin/processes"
)

// TestCommands runs the commands of the siskinknot program against a fleet, and
// checks their exit codes and their output.
func TestCommands(t *testing.T) {
	fleet := start(t, processes.Options{Servers: specs(3, 1)})
	dir := t.TempDir()
	invalidPath := filepath.Join(dir, "wrong.json")
	treePath := filepath.Join(dir, "tree.json")
	files := map[string]string{
		invalidPath: `{"server": "Registry 1"}`,
		treePath: `{"values": {"default_deadline_ms": 3000}, "services": {"archive": {"kind": "shared"},
			"registry": {"kind": "divided", "slots": 32, "values": {"queue_length": 9}}}}`,
	}
	for path, text := range files {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	operatorFlag := "-operator=" + fleet.Servers[0].OperatorAddr.String()
	tests := []struct {
		args []string
		code int
		want string
	}{
		{[]string{"version"}, 0, "inner protocol 1"},
		{[]string{"help"}, 0, "run the daemon beside a target"},
		{[]string{"help", "settings"}, 0, "VALUE null restores the\n  inherited value."},
		{[]string{"nonsense"}, 2, ""},
		{[]string{"config", "check", "../../docs/examples/daemon.json"}, 0, "valid"},
		{[]string{"config", "check", invalidPath}, 6, `/server: "Registry 1"`},
		{[]string{"config", "check-settings", "../../docs/examples/hcm.json"}, 0, "valid"},
		{[]string{"daemon", "-config", invalidPath}, 6, "missing properties"},
		{[]string{"status", operatorFlag}, 0, "registry-1#"},
		{[]string{"status", operatorFlag, "-json"}, 0, `"settings_version": `},
		{[]string{"status", "-operator=127.0.0.1:1"}, 4, "connection refused"},
		{[]string{"explain", operatorFlag, "-service=registry", "rosa"}, 0, "by assign"},
		{[]string{"explain", operatorFlag, "-service=nonsense", "rosa"}, 1, `service "nonsense" is not divided by key`},
		{[]string{"explain", operatorFlag}, 2, "Says who owns KEY"},
		{[]string{"settings", "get", operatorFlag, "-effective", "/registry"}, 0, "from /registry"},
		{[]string{"settings", "set", operatorFlag, "/registry", "queue_length=7"}, 0, "accepted"},
		{[]string{"settings", "set", operatorFlag, "-base=1", "/registry", "queue_length=8"}, 3, "was changed at version"},
		{[]string{"settings", "set", operatorFlag, "/registry", "queue_length=many"}, 3, `"many": got string, want integer`},
		{[]string{"settings", "publish", operatorFlag, treePath}, 0, "accepted"},
		{[]string{"settings", "get", operatorFlag, "/registry"}, 0, `{"queue_length":9}`},
		{[]string{"settings", "publish", operatorFlag, invalidPath}, 6, "additional properties 'server' not allowed"},
		{[]string{"settings", "history", operatorFlag}, 0, "refused"},
	}
	for _, tt := range tests {
		cmd := exec.Command(filepath.Join(binDir, "siskinknot"), tt.args...)
		out, err := cmd.CombinedOutput()
		code := 0
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			code = exit.ExitCode()
		}
		if code != tt.code || !strings.Contains(string(out), tt.want) {
			t.Errorf("siskinknot %s: exit code %d, want %d, and %q in:\n%s", strings.Join(tt.args, " "), code, tt.code, tt.want, out)
		}
	}
}
