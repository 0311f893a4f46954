package config

import (
	"context"
	"os"
	"time"
)

// watchEvery is how often a settings file is looked at for changes.
const watchEvery = time.Second

// Watch calls changed whenever the file's size or time differs from before,
// until ctx is done.
func Watch(ctx context.Context, file string, changed func()) {
	tick := time.NewTicker(watchEvery)
	defer tick.Stop()
	last := stampOf(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if now := stampOf(file); now != last {
			last = now
			changed()
		}
	}
}

// stamp tells versions of a file apart.
type stamp struct {
	size int64
	time time.Time
}

func stampOf(file string) stamp {
	info, err := os.Stat(file)
	if err != nil {
		return stamp{}
	}
	return stamp{info.Size(), info.ModTime()}
}
