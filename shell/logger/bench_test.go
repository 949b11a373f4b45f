package logger_test

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/shell/logger"
)

// BenchmarkLine writes the log line of an answered request.
func BenchmarkLine(b *testing.B) {
	log := logger.NewLimited(io.Discard, "gateway", "vm-1", 1<<40)
	b.ReportAllocs()
	for b.Loop() {
		log.WithFields(logrus.Fields{
			"request": "3aa8d0adcd340b5c", "route": "r-2ix248w", "service": "nolo8b", "status": 200, "reason": "answered",
			"attempts": 1, "targets": []string{"i-fd8c7c01ba"}, "may-have-run": true, "caller-gone": false,
			"duration": 337 * time.Millisecond, "limit": 5163 * time.Millisecond, "configuration": uint64(4),
			"age": 204 * time.Millisecond, "organisation": "hucu760",
		}).Info("request-answered")
	}
}
