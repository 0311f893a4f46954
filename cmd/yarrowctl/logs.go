package main

import (
	"fmt"
	"io"
	"os"

	"github.com/yarrowmast/yarrowmast/internal/command"
	"github.com/yarrowmast/yarrowmast/internal/logread"
)

// readLogs reads the log files of routers, or standard input if there are none.
func readLogs(c *command.Context, files []string) ([]logread.Record, error) {
	var records []logread.Record
	read := func(name string, r io.Reader) error {
		_, err := logread.Each(r, func(record logread.Record) { records = append(records, record) })
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		return nil
	}
	if len(files) == 0 {
		return records, read("standard input", os.Stdin)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		err = read(name, f)
		_ = f.Close()
		if err != nil {
			return nil, err
		}
	}
	return records, nil
}
