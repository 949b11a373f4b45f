package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/gateway/internal/loader"
)

// watchInterval is how often the settings file is read for changes without a
// signal.
const watchInterval = 2 * time.Second

// watcher reads the settings file anew on SIGHUP and when it has changed. A file
// with a mistake changes nothing.
type watcher struct {
	file     string
	settings loader.Settings
	log      *logrus.Entry
	// reload gets a signal when the file is to be read.
	reload <-chan os.Signal
	// changed takes the new settings.
	changed func(loader.Settings)

	data []byte
}

// reloadSignals catches SIGHUP until the process ends: uncaught it would end the
// process, also one that is starting or stopping as planned.
func reloadSignals() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

func (watcher *watcher) run(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	watcher.data, _ = os.ReadFile(watcher.file) // a failure shows at the next reading
	for {
		select {
		case <-ctx.Done():
			return
		case <-watcher.reload:
		case <-ticker.C:
		}
		watcher.look()
	}
}

// look reads the file and takes it over if it has changed and is right.
func (watcher *watcher) look() {
	data, err := os.ReadFile(watcher.file)
	if err != nil {
		watcher.log.WithError(err).Warn("settings-unreadable")
		return
	}
	if bytes.Equal(data, watcher.data) {
		return
	}
	watcher.data = data
	settings, problems := loader.Load(watcher.file, data)
	for _, problem := range problems {
		watcher.log.WithError(problem).Error("settings-refused")
	}
	if len(problems) == 0 {
		watcher.changed(settings)
	}
}
