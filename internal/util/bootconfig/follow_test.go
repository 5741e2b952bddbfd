package bootconfig

import (
	"encoding/json"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// followedFile is a settings file that a test changes.
type followedFile struct {
	t        *testing.T
	path     string
	settings Settings
}

func newFollowedFile(t *testing.T) *followedFile {
	f := &followedFile{t: t, path: filepath.Join(t.TempDir(), "boot.json"), settings: Defaults()}
	f.settings.NodeName, f.settings.IP, f.settings.PortRange = "edge-1", "127.0.0.1", [2]int{7660, 7675}
	f.settings.Seeds = []string{"127.0.0.2:8146"}
	f.write()
	return f
}

func (f *followedFile) write() {
	f.t.Helper()
	content, err := json.Marshal(f.settings)
	if err != nil {
		f.t.Fatal(err)
	}
	f.writeBytes(content)
}

func (f *followedFile) writeBytes(content []byte) {
	f.t.Helper()
	if err := os.WriteFile(f.path, content, 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func (f *followedFile) load() Settings {
	f.t.Helper()
	loaded, err := Load(f.path)
	if err != nil {
		f.t.Fatal(err)
	}
	return loaded
}

// TestFollow_changeWithoutSignal guards against processes that never see a settings file that changes without a SIGHUP.
func TestFollow_changeWithoutSignal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		file := newFollowedFile(t)
		initial := file.load()
		initial.MetricsPort = 9466
		changes := Follow(t.Context(), file.path, initial, nil, func(err error) { t.Errorf("got error %v, want none", err) })
		time.Sleep(3 * FollowInterval)
		if len(changes) != 0 {
			t.Fatalf("got settings %v though the file has not changed, want none", <-changes)
		}
		for _, seed := range []string{"127.0.0.3:8146", "127.0.0.4:8146"} {
			file.settings.Seeds = []string{seed}
			file.write()
			time.Sleep(FollowInterval + time.Millisecond)
		}
		got := <-changes
		if len(changes) != 0 || len(got.Seeds) != 1 || got.Seeds[0] != "127.0.0.4:8146" || got.MetricsPort != 9466 {
			t.Fatalf("got seeds %v and metrics port %d, want only the newest seeds and the port of the command line", got.Seeds, got.MetricsPort)
		}
	})
}

// TestFollow_invalidFile checks that a file that is being written, or is invalid, changes nothing and is reported once.
func TestFollow_invalidFile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		file := newFollowedFile(t)
		failures := 0
		changes := Follow(t.Context(), file.path, file.load(), nil, func(error) { failures++ })
		file.writeBytes([]byte(`{"nodeName":`))
		time.Sleep(FollowInterval + readRetryDelay + time.Millisecond)
		if failures != 0 {
			t.Fatal("an incomplete file is reported at once, want retries first")
		}
		time.Sleep(5 * FollowInterval)
		if failures != 1 || len(changes) != 0 {
			t.Fatalf("got %d reports and %d changes of an invalid file, want one report and no change", failures, len(changes))
		}
		file.settings.Bounds.GraceS = 5
		file.write()
		time.Sleep(FollowInterval + time.Millisecond)
		if got := <-changes; got.Bounds.GraceS != 5 {
			t.Fatalf("graceS after the file is valid again is %v, want 5", got.Bounds.GraceS)
		}
	})
}

// TestFollow_SIGHUP checks that the file is read at once when the signal arrives.
func TestFollow_SIGHUP(t *testing.T) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	file := newFollowedFile(t)
	changes := Follow(t.Context(), file.path, file.load(), signals, func(err error) { t.Errorf("got error %v, want none", err) })
	file.settings.Bounds.GraceS = 5
	file.write()
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if got := <-changes; got.Bounds.GraceS != 5 {
		t.Fatalf("graceS after SIGHUP is %v, want 5", got.Bounds.GraceS)
	}
}
