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

// TestCommands runs the commands as an operator would and checks their exit
// codes and what they print.
func TestCommands(t *testing.T) {
	fleet := start(t, processes.Options{Servers: specs(3, 1)})
	dir := t.TempDir()
	wrong := filepath.Join(dir, "wrong.json")
	tree := filepath.Join(dir, "tree.json")
	files := map[string]string{
		wrong: `{"server": "Registry 1"}`,
		tree: `{"values": {"default_deadline_ms": 3000}, "services": {"archive": {"kind": "shared"},
			"registry": {"kind": "divided", "slots": 32, "values": {"queue_length": 9}}}}`,
	}
	for path, text := range files {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	at := "-operator=" + fleet.Servers[0].OpAddr.String()
	tests := []struct {
		args []string
		code int
		want string
	}{
		{[]string{"version"}, 0, "inner protocol 1"},
		{[]string{"help"}, 0, "run the daemon beside a target"},
		{[]string{"help", "settings"}, 0, "VALUE null returns it to what is"},
		{[]string{"nonsense"}, 2, ""},
		{[]string{"config", "check", "../../docs/examples/daemon.json"}, 0, "valid"},
		{[]string{"config", "check", wrong}, 6, `/server: "Registry 1"`},
		{[]string{"config", "check-settings", "../../docs/examples/hcm.json"}, 0, "valid"},
		{[]string{"daemon", "-config", wrong}, 6, "missing properties"},
		{[]string{"status", at}, 0, "registry-1#"},
		{[]string{"status", at, "-json"}, 0, `"settings_version": `},
		{[]string{"status", "-operator=127.0.0.1:1"}, 4, "connection refused"},
		{[]string{"explain", at, "-service=registry", "rosa"}, 0, "by assign"},
		{[]string{"explain", at, "-service=nonsense", "rosa"}, 1, `service "nonsense" is not divided by key`},
		{[]string{"explain", at}, 2, "Says who owns KEY"},
		{[]string{"settings", "get", at, "-effective", "/registry"}, 0, "from /registry"},
		{[]string{"settings", "set", at, "/registry", "queue_length=7"}, 0, "accepted"},
		{[]string{"settings", "set", at, "-base=1", "/registry", "queue_length=8"}, 3, "was changed at version"},
		{[]string{"settings", "set", at, "/registry", "queue_length=many"}, 3, `"many": got string, want integer`},
		{[]string{"settings", "publish", at, tree}, 0, "accepted"},
		{[]string{"settings", "get", at, "/registry"}, 0, `{"queue_length":9}`},
		{[]string{"settings", "publish", at, wrong}, 6, "additional properties 'server' not allowed"},
		{[]string{"settings", "history", at}, 0, "refused"},
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
