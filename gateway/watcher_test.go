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

// A SIGHUP ends no VM that stops as planned, which goes on serving after the watcher
// has ended.
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

// A changed file is taken over once; one with a mistake or that is gone changes
// nothing.
func TestWatcher(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "vm.ini")
	log := logrus.New()
	log.SetOutput(io.Discard)
	var taken []loader.Settings
	watcher := &watcher{
		file: file, log: logrus.NewEntry(log), data: []byte(settingsFile),
		changed: func(settings loader.Settings) { taken = append(taken, settings) },
	}
	look := func(text string) {
		is.NoErr(os.WriteFile(file, []byte(text), 0o600))
		watcher.look()
	}
	watcher.look() // there is no file
	look(settingsFile)
	is.Equal(len(taken), 0)
	look(settingsFile + "[retries]\nratio = 0.1\n")
	look(settingsFile + "[retries]\nratio = 0.1\n")
	is.Equal(len(taken), 1)
	is.Equal(taken[0].RetryRatio, 0.1)
	look(settingsFile + "[retries]\nratio = some\n")
	is.Equal(len(taken), 1)
	look(settingsFile)
	is.Equal(len(taken), 2)
}
