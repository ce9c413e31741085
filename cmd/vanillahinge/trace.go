package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/vanillahinge/vanillahinge/report/trace"
)

// trace finds one request in the logs of instances on the users' platform and
// prints what they say about it.
func (t *tool) trace(sc *flaggy.Subcommand) func() error {
	var id, files string
	sc.AddPositionalValue(&id, "ID", 1, true, "The request's id.")
	sc.String(&files, "f", "files", "Log files, separated by commas; default: the standard input.")
	return func() error {
		readers := []io.Reader{t.in}
		if files != "" {
			readers = nil
			for _, name := range strings.Split(files, ",") {
				f, err := os.Open(name)
				if err != nil {
					return usageError("cannot read the log %q: %w", name, err)
				}
				defer f.Close()
				readers = append(readers, f)
			}
		}
		var lines []trace.Line
		for _, r := range readers {
			l, err := trace.Read(r)
			if err != nil {
				return fmt.Errorf("read the log: %w", err)
			}
			lines = append(lines, l...)
		}
		s, err := trace.Find(lines, id)
		if err != nil {
			return err
		}
		return s.Write(t.out)
	}
}
