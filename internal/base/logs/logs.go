// Package logs sets up structured logging: text on a terminal, JSON elsewhere.
package logs

import (
	"io"
	"os"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("logs")

// Format is the format of log lines.
type Format string

// The formats of log lines. FormatAuto is text on a terminal and JSON elsewhere.
const (
	FormatAuto Format = "auto"
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// New returns a logger that writes lines of the format to the file.
func New(file *os.File, level string, format Format) (*log.Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, Error.New("log level %q: %w", level, err)
	}
	return &log.Logger{Level: parsed, Handler: newHandler(file, file, format)}, nil
}

// NewJSON returns a logger that writes JSON lines to the writer.
func NewJSON(writer io.Writer, level string) (*log.Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, Error.New("log level %q: %w", level, err)
	}
	return &log.Logger{Level: parsed, Handler: json.New(writer)}, nil
}

func newHandler(writer io.Writer, file *os.File, format Format) log.Handler {
	if format == FormatJSON || format != FormatText && !IsTerminal(file) {
		return json.New(writer)
	}
	return text.New(writer)
}

// IsTerminal reports whether the file is a terminal or another character device.
func IsTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
