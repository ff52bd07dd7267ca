// Package settings reads the settings of an entry daemon: a file in JSON with comments, overridden by flags, checked
// whole in one place.
package settings

import (
	"strings"

	"cuminstair.org/cuminstair"
)

// Settings is a settings file. Fields that a daemon can do without are marked as optional.
type Settings struct {
	Name     string              `json:"name"`     // of the daemon, unique among daemons
	Centre   string              `json:"centre"`   // the data centre that it is in
	Listen   Listen              `json:"listen"`   // its listeners
	Peers    []string            `json:"peers"`    // optional: other daemons as name=address; needs listen.peers and tls.peers
	Platform string              `json:"platform"` // optional: address of the platform; excludes fleet
	Key      string              `json:"key"`      // optional: file with the key of tickets
	TLS      TLS                 `json:"tls"`      // optional, but for peers
	Stop     cuminstair.Duration `json:"stop"`     // optional: bound of a planned stop; DefaultStop
	Wait     cuminstair.Duration `json:"wait"`     // optional: time for the load balancer at a planned stop; DefaultWait
	Share    float64             `json:"share"`    // optional: part of each upstream's connections; 1
	Log      string              `json:"log"`      // optional: "debug", "info", "warn" or "error"; info
	Fleet    string              `json:"fleet"`    // optional: fleet file of a daemon without platform
}

// Listen is the addresses of the listeners, each an IP address and port.
type Listen struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"` // optional
	Peers     string `json:"peers"`     // optional
	Metrics   string `json:"metrics"`   // optional
}

// TLS is the TLS files of each listener.
type TLS struct {
	Callers   Files `json:"callers"`
	Operators Files `json:"operators"`
	Peers     Files `json:"peers"`
}

// Files is the TLS files of one listener, in PEM. All empty means no TLS.
type Files struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"` // optional but for peers: clients must have a certificate of this authority
}

// Used reports whether the listener uses TLS.
func (f Files) Used() bool { return f != Files{} }

// SplitPeer splits an entry of Settings.Peers into the name of a daemon and its address. Both are empty if it has not
// the form name=address.
func SplitPeer(text string) (name, addr string) {
	name, addr, ok := strings.Cut(text, "=")
	if !ok || name == "" || addr == "" {
		return "", ""
	}
	return name, addr
}
