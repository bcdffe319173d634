package entryhost

import (
	"bytes"
	"os"
	"time"

	"wisteriapond/core"
	"wisteriapond/settings"
)

// settingsInterval is the interval at which the settings file is checked for
// changes, because it may change without a signal.
const settingsInterval = 5 * time.Second

// WatchSettings makes the host apply changes of the settings file while it runs.
// Only changes of the store settings take effect, and only on a host with a
// store. WatchSettings must be called before Run.
func (h *Host) WatchSettings(file string) { h.settingsFile = file }

// ReloadSettings reads and applies the settings file immediately.
func (h *Host) ReloadSettings() {
	select {
	case h.settingsReload <- struct{}{}:
	default:
	}
}

// pollSettings applies the settings file whenever it changes or a reload is
// requested, until the host ends.
func (h *Host) pollSettings() {
	if h.settingsFile == "" || h.store == nil {
		return
	}
	lastRead, err := os.ReadFile(h.settingsFile)
	if err != nil {
		h.log.WithError(err).Warn("failed to read the settings file")
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
			h.log.WithError(err).Error("settings not reloaded: failed to read the settings file")
		case err == nil && (signalled || !bytes.Equal(raw, lastRead)):
			lastRead = raw
			h.applySettings(raw)
		}
	}
}

// applySettings applies new settings, or keeps the current ones if the new ones
// are invalid.
func (h *Host) applySettings(raw []byte) {
	s, err := settings.Parse(h.settingsFile, raw)
	if err != nil {
		h.log.WithError(err).Error("settings not reloaded: the settings file is invalid")
		return
	}
	h.loop.Send(core.SettingsChanged{Registry: h.registrySettings(&s.Store)})
}
