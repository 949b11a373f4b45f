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

// watchInterval is how often the settings file is checked for changes without a signal.
const watchInterval = 2 * time.Second

// watcher reloads the settings file on SIGHUP and when it has changed. It logs the
// problems of an invalid file and does not apply it.
type watcher struct {
	file     string
	settings loader.Settings
	log      *logrus.Entry
	// reload receives a signal when the file must be read at once.
	reload <-chan os.Signal
	// onChange is called with the new settings.
	onChange func(loader.Settings)

	// data is the file's content at the last check.
	data []byte
}

// reloadSignals catches SIGHUP for the rest of the process's life. Uncaught, it would
// kill the process, also during the start or a planned stop.
func reloadSignals() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

func (watcher *watcher) run(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	watcher.data, _ = os.ReadFile(watcher.file) // check reports a failure
	for {
		select {
		case <-ctx.Done():
			return
		case <-watcher.reload:
		case <-ticker.C:
		}
		watcher.check()
	}
}

// check reads the file and calls onChange if it has changed and has no problems.
func (watcher *watcher) check() {
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
		watcher.onChange(settings)
	}
}
