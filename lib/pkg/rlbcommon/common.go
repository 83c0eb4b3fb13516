// Package rlbcommon provides what all programs share: the logger and settings
// passed to components, and the command line of daemons.
package rlbcommon

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/apex/log"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlblog"
	"github.com/rhubarblb/rhubarblb/lib/pkg/rlbsettings"

	jsonhandler "github.com/apex/log/handlers/json"
)

// Common holds the logger and settings shared by the components of a program.
type Common struct {
	Log      *log.Entry
	Settings *rlbsettings.Settings
	// SettingsPath is the path of the settings file, empty if there is none.
	SettingsPath string
	// Reload reads the settings file and command-line overrides again.
	Reload func() (*rlbsettings.Settings, error)
}

// New returns a Common that logs JSON lines to w, each with the instance ID.
func New(w io.Writer, settings *rlbsettings.Settings) (*Common, error) {
	return newCommon(jsonhandler.New(w), settings)
}

// NewBounded returns a Common with a rate-limited log that never blocks, and a
// function that writes the queued lines and closes the log.
func NewBounded(w io.Writer, settings *rlbsettings.Settings) (*Common, func(), error) {
	handler, cleanUp := rlblog.New(w, rlblog.DefaultOpts, time.Now)
	common, err := newCommon(handler, settings)
	return common, cleanUp, err
}

func newCommon(handler log.Handler, settings *rlbsettings.Settings) (*Common, error) {
	level, err := log.ParseLevel(settings.Text(rlbsettings.LogLevel))
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", settings.Text(rlbsettings.LogLevel), err)
	}
	logger := &log.Logger{Handler: handler, Level: level}
	entry := logger.WithField("instance", settings.Text(rlbsettings.InstanceID))
	return &Common{Log: entry, Settings: settings}, nil
}

// ReadyLine is the line that a program prints to standard output once it is
// serving.
type ReadyLine struct {
	Ready    bool              `json:"ready"`
	Program  string            `json:"program"`
	Instance string            `json:"instance"`
	Listen   map[string]string `json:"listen"` // IP:port by purpose
}

// PrintReady writes r as one JSON line.
func PrintReady(w io.Writer, r ReadyLine) error {
	r.Ready = true
	return json.NewEncoder(w).Encode(r)
}
