package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/yarrowmast/yarrowmast/internal/command"
	"github.com/yarrowmast/yarrowmast/internal/config"
	"github.com/yarrowmast/yarrowmast/pkg/strictyaml"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

var checkArgs struct{ table, settings string }

var cmdCheck = &command.Command{
	Name:        "check",
	Description: "validates a table and settings and prints each error with its line",
	Flags: func(s *flaggy.Subcommand) {
		s.String(&checkArgs.table, "t", "table", "table file")
		s.String(&checkArgs.settings, "s", "settings", "settings file of a router")
	},
	Run: runCheck,
}

var errNoFiles = errors.New("no file to check; use --table FILE, --settings FILE or both")

func runCheck(c *command.Context) error {
	if checkArgs.table == "" && checkArgs.settings == "" {
		return errNoFiles
	}
	invalid := false
	for _, target := range []struct {
		file  string
		check func(file string, data []byte) error
	}{{checkArgs.settings, checkSettings}, {checkArgs.table, checkTable}} {
		if target.file == "" {
			continue
		}
		valid, err := checkFile(c, target.file, target.check)
		if err != nil {
			return err
		}
		invalid = invalid || !valid
	}
	if invalid {
		return command.ErrFailed
	}
	return nil
}

func checkSettings(file string, data []byte) error {
	_, err := config.Parse(file, data)
	return err
}

func checkTable(file string, data []byte) error {
	_, err := table.Parse(file, data)
	return err
}

func checkFile(c *command.Context, file string, check func(string, []byte) error) (bool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return false, err
	}
	err = check(file, data)
	var problems *strictyaml.Problems
	if errors.As(err, &problems) {
		_, _ = fmt.Fprintln(c.Err, problems.Error())
		return false, nil
	}
	if err != nil {
		return false, err
	}
	_, err = fmt.Fprintf(c.Out, "%s: good\n", file)
	return true, err
}
