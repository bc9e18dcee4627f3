// Package daemon assembles the components of an entry process and runs them.
package daemon

import (
	"net"
	"time"

	"github.com/rotisserie/eris"

	"azuredoor.example/core/settings"
)

// Values of Config.Policy.
const (
	PolicyFull  = "full"
	PolicyNaive = "naive"
)

// Config holds the settings of azuredoor-entry.
type Config struct {
	// Name is unique among the entries of the fleet.
	Name string
	// Listen, PeerListen, UpstreamListen and MonitorListen are the addresses, as IP:port, that the entry listens on for
	// callers, other entries, announcements of upstreams, and metrics scrapers.
	Listen, PeerListen, UpstreamListen, MonitorListen string
	// Control holds the gRPC addresses of the control members.
	Control               []string
	FailureDomain, Region string
	FleetSecretFile       string
	JoinTokenFile         string
	// Policy is PolicyFull or PolicyNaive.
	Policy string
	// DrainDelay is the time between the end of readiness and the end of accepting connections.
	DrainDelay time.Duration
	// DrainTimeout bounds the time to complete running requests after a stop signal.
	DrainTimeout time.Duration
	// MemoryMegabytes is the VM's memory, FileDescriptors the number of descriptors that the process may have open.
	MemoryMegabytes, FileDescriptors int
	LogLevel                         string
	// LogText selects human-readable log lines instead of JSON.
	LogText bool

	secret, joinToken string
}

// Settings returns the flag set that fills the configuration.
func (c *Config) Settings() *settings.Set {
	s := settings.New("azuredoor-entry", "AZUREDOOR_ENTRY")
	s.Text(&c.Name, "name", "", "name of this entry, unique in the fleet")
	s.Address(&c.Listen, "listen", "", "IP:port that callers connect to")
	s.Address(&c.PeerListen, "peer-listen", "", "IP:port that other entries connect to")
	s.Address(&c.UpstreamListen, "upstream-listen", "", "IP:port where upstreams announce themselves")
	s.Address(&c.MonitorListen, "monitor-listen", "", "IP:port of the metrics page; may equal -upstream-listen")
	s.AddressList(&c.Control, "control", "IP:port of each control member, separated by commas")
	s.Text(&c.FailureDomain, "failure-domain", "", "failure domain of this VM")
	s.Text(&c.Region, "region", "", "region of this VM")
	s.Text(&c.FleetSecretFile, "fleet-secret-file", "", "path of the file with the fleet secret")
	s.Text(&c.JoinTokenFile, "join-token-file", "", "path of the file with the upstreams' join token")
	s.Choice(&c.Policy, "policy", PolicyFull, []string{PolicyFull, PolicyNaive}, "decisions: full or naive")
	s.Period(&c.DrainDelay, "drain-delay", 2*time.Second, 0, time.Minute,
		"time between the end of readiness and the end of accepting")
	s.Period(&c.DrainTimeout, "drain-timeout", 10*time.Minute, time.Second, 24*time.Hour,
		"time that running requests have after a stop was asked for")
	s.Count(&c.MemoryMegabytes, "memory-megabytes", 256, 32, 1<<20, "memory of this VM in megabytes")
	s.Count(&c.FileDescriptors, "file-descriptors", 4096, 256, 1<<24, "descriptors that this process may have open")
	s.Choice(&c.LogLevel, "log-level", "info", []string{"debug", "info", "warn", "error"}, "lowest level that is logged")
	s.BoolVar(&c.LogText, "log-text", false, "log lines for people in place of JSON")
	s.Required("name", "listen", "peer-listen", "upstream-listen", "monitor-listen", "control", "failure-domain",
		"region", "fleet-secret-file", "join-token-file")
	return s
}

// Check reports the first conflict between settings, and reads the secrets.
func (c *Config) Check() error {
	if c.Listen == c.PeerListen || c.Listen == c.UpstreamListen || c.Listen == c.MonitorListen {
		return eris.Errorf("setting -listen=%q: want another address than -peer-listen, -upstream-listen and -monitor-listen",
			c.Listen)
	}
	if c.PeerListen == c.UpstreamListen || c.PeerListen == c.MonitorListen {
		return eris.Errorf("setting -peer-listen=%q: want another address than -upstream-listen and -monitor-listen",
			c.PeerListen)
	}
	var err error
	if c.secret, err = settings.Secret("fleet-secret-file", c.FleetSecretFile); err != nil {
		return err
	}
	c.joinToken, err = settings.Secret("join-token-file", c.JoinTokenFile)
	return err
}

// sourceIP returns the local IP address of connections to other processes of the fleet.
func (c *Config) sourceIP() string {
	host, _, err := net.SplitHostPort(c.PeerListen)
	if err != nil {
		return ""
	}
	return host
}
