package bufferer_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"godwitramp.example/shell/bufferer"
)

func TestMessageBeyondItsShareIsRead(t *testing.T) {
	is := is.New(t)
	messages := &bufferer.Bufferer{Limit: 1 << 20}
	short, releaseShort, err := messages.ReadAll(strings.NewReader("short"))
	is.NoErr(err)
	is.Equal(string(short), "short")
	_, releaseLong, err := messages.ReadAll(strings.NewReader(strings.Repeat("x", 2<<20)))
	is.True(errors.Is(err, bufferer.ErrTooLarge))
	releaseLong()
	releaseShort()
	_, release, err := messages.ReadAll(strings.NewReader(strings.Repeat("x", 1<<20))) // nothing else is held any more
	is.NoErr(err)
	release()
}
