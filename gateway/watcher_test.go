package main

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"godwitramp.example/gateway/internal/loader"
)

const settingsFile = `[vm]
name = vm-1
region = r
data-centre = z
memory-mb = 284
descriptors = 4100
[fleet]
regions = z:r
[listen]
callers = 127.0.0.1:1
readiness = 127.0.0.1:2
operators = 127.0.0.1:3
messages = 127.0.0.1:4
[store]
address = 127.0.0.1:5
`

// A SIGHUP during a planned stop, after the watcher has ended, must not kill the process.
func TestHangupWhileStopping(t *testing.T) {
	is := is.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	reload := reloadSignals()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	watcher := &watcher{file: "none", log: logrus.NewEntry(log), reload: reload}
	watcher.run(ctx)
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP)) // ends the process unless it is caught
	<-reload
}

// A changed file must be applied once. A missing or invalid file must change nothing.
func TestWatcherAppliesOnlyValidChanges(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "vm.ini")
	log := logrus.New()
	log.SetOutput(io.Discard)
	var applied []loader.Settings
	watcher := &watcher{
		file: file, log: logrus.NewEntry(log), data: []byte(settingsFile),
		onChange: func(settings loader.Settings) { applied = append(applied, settings) },
	}
	writeAndCheck := func(text string) {
		is.NoErr(os.WriteFile(file, []byte(text), 0o600))
		watcher.check()
	}
	watcher.check() // the file doesn't exist yet
	writeAndCheck(settingsFile)
	is.Equal(len(applied), 0)
	writeAndCheck(settingsFile + "[retries]\nratio = 0.1\n")
	writeAndCheck(settingsFile + "[retries]\nratio = 0.1\n")
	is.Equal(len(applied), 1)
	is.Equal(applied[0].RetryRatio, 0.1)
	writeAndCheck(settingsFile + "[retries]\nratio = some\n")
	is.Equal(len(applied), 1)
	writeAndCheck(settingsFile)
	is.Equal(len(applied), 2)
}
