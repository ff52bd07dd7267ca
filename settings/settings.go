// Package settings reads the settings of an entry daemon: a file in JSON with comments, overridden by flags. Load
// reports all faults of the settings at once.
package settings

import (
	"strings"

	"cuminstair.org/cuminstair"
)

// Settings is the content of a settings file. Fields that may be left out are marked as optional.
type Settings struct {
	Name     string              `json:"name"`     // name of the daemon, unique among daemons
	Centre   string              `json:"centre"`   // data centre of the daemon
	Listen   Listen              `json:"listen"`   // addresses of the listeners
	Peers    []string            `json:"peers"`    // optional: other daemons as name=address; needs listen.peers and tls.peers
	Platform string              `json:"platform"` // optional: address of the platform; excludes fleet
	Key      string              `json:"key"`      // optional: file with the key that signs tickets (package ticket)
	TLS      TLS                 `json:"tls"`      // optional, except for peers
	Stop     cuminstair.Duration `json:"stop"`     // optional, default DefaultStop: longest duration of a planned stop
	Wait     cuminstair.Duration `json:"wait"`     // optional, default DefaultWait: how long a stop waits once unready
	Share    float64             `json:"share"`    // optional, default 1: part of each upstream's connections to use
	Log      string              `json:"log"`      // optional, default "info": "debug", "info", "warn" or "error"
	Fleet    string              `json:"fleet"`    // optional: fleet file of a daemon without platform
}

// Listen holds the addresses of the listeners, each an IP address and port.
type Listen struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"` // optional
	Peers     string `json:"peers"`     // optional
	Metrics   string `json:"metrics"`   // optional
}

// TLS holds the TLS files of each listener.
type TLS struct {
	Callers   Files `json:"callers"`
	Operators Files `json:"operators"`
	Peers     Files `json:"peers"`
}

// Files holds the paths of the TLS files of one listener, in PEM. If all are empty, the listener does not use TLS.
type Files struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"` // optional, except for peers: clients must have a certificate of this authority
}

// Used reports whether the listener uses TLS.
func (f Files) Used() bool { return f != Files{} }

// SplitPeer splits an entry of Settings.Peers into the name of a daemon and its address. Both are empty if the
// entry does not have the form name=address.
func SplitPeer(text string) (name, addr string) {
	name, addr, ok := strings.Cut(text, "=")
	if !ok || name == "" || addr == "" {
		return "", ""
	}
	return name, addr
}
