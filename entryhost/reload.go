package entryhost

import (
	"bytes"
	"os"
	"time"

	"wisteriapond/core"
	"wisteriapond/settings"
)

// settingsInterval is the time between two looks at the settings file, which
// may change without a signal.
const settingsInterval = 5 * time.Second

// WatchSettings takes over changes of the settings file while the host runs.
// It must be called before Run.
func (h *Host) WatchSettings(file string) { h.settingsFile = file }

// ReloadSettings looks at the settings file at once.
func (h *Host) ReloadSettings() {
	select {
	case h.settingsReload <- struct{}{}:
	default:
	}
}

func (h *Host) pollSettings() {
	if h.settingsFile == "" || h.store == nil {
		return
	}
	known, err := os.ReadFile(h.settingsFile)
	if err != nil {
		h.log.WithError(err).Warn("settings file cannot be read")
	}
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-h.ctx.Done():
			return
		case <-ticker.C:
		case <-h.settingsReload:
			signalled = true
		}
		raw, err := os.ReadFile(h.settingsFile)
		switch {
		case err != nil && signalled:
			h.log.WithError(err).Error("settings kept: the file cannot be read")
		case err == nil && (signalled || !bytes.Equal(raw, known)):
			known = raw
			h.applySettings(raw)
		}
	}
}

// applySettings keeps the settings in force when the new ones are refused.
func (h *Host) applySettings(raw []byte) {
	s, err := settings.Parse(h.settingsFile, raw)
	if err != nil {
		h.log.WithError(err).Error("settings kept: the new ones are refused")
		return
	}
	h.loop.Send(core.SettingsChanged{Registry: h.registrySettings(&s.Store)})
}
