package config

import (
	"context"
	"os"
	"time"
)

const watchInterval = time.Second

// Watch calls changed whenever the size or modification time of the file changes, until ctx is
// done.
func Watch(ctx context.Context, file string, changed func()) {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	last := versionOf(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if now := versionOf(file); now != last {
			last = now
			changed()
		}
	}
}

// fileVersion identifies a version of a file.
type fileVersion struct {
	size int64
	time time.Time
}

func versionOf(file string) fileVersion {
	info, err := os.Stat(file)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{info.Size(), info.ModTime()}
}
