// Package settings implements the settings of the programs. Each setting can be given as a flag, an environment variable or a
// field of a YAML file. A flag has precedence over the environment, and the environment over the file.
package settings

import (
	"flag"
	"fmt"
	"io"
	"net/netip"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/rotisserie/eris"

	"gentianswitch/internal/control"
	"gentianswitch/internal/events"
	"gentianswitch/internal/keys"
)

// Common holds the settings that balancers and agents have in common.
type Common struct {
	Zone      string
	Data      netip.AddrPort
	Control   netip.AddrPort
	Metrics   string
	LogFormat string
	LogLevel  string
	KeysFile  string
	Files     control.Files
	// File is the settings file, or empty for none.
	File          string
	IsCheckOnly   bool
	IsVersionOnly bool
	// WithoutPeers omits the settings for authenticated connections to peers: the control address, keys and certificates.
	WithoutPeers bool
}

// Define defines the flags of the common settings in a flag set.
func (c *Common) Define(fs *flag.FlagSet) {
	fs.StringVar(&c.Zone, "zone", "", "availability zone of the VM")
	AddrPortVar(fs, &c.Data, "data", "IPv4 `ip:port` of the datagram socket between balancers and agents")
	fs.StringVar(&c.Metrics, "metrics", "", "`ip:port` of the Prometheus endpoint; empty for none")
	fs.StringVar(&c.LogFormat, "log-format", events.FormatJSON, "json or text")
	fs.StringVar(&c.LogLevel, "log-level", "info", "debug, info, warning or error")
	fs.BoolVar(&c.IsCheckOnly, "check", false, "validate the settings and exit")
	fs.BoolVar(&c.IsVersionOnly, "version", false, "print the version and exit")
	fs.StringVar(&c.File, settingsFileFlag, "", "YAML `file` with settings; its fields have the names of the flags")
	if !c.WithoutPeers {
		c.definePeers(fs)
	}
}

func (c *Common) definePeers(fs *flag.FlagSet) {
	AddrPortVar(fs, &c.Control, "control", "IPv4 `ip:port` of the control listener (TCP, mutual TLS)")
	fs.StringVar(&c.KeysFile, "keys", "", "YAML `file` with the keys of connection IDs and envelopes; read again on SIGHUP")
	fs.StringVar(&c.Files.Certificate, "certificate", "", "PEM `file` with the certificate of this process")
	fs.StringVar(&c.Files.Key, "certificate-key", "", "PEM `file` with the private key of the certificate")
	fs.StringVar(&c.Files.Authority, "authority", "", "PEM `file` with the authority of all certificates")
}

// Check returns an error for the first common setting that is missing.
func (c *Common) Check() error {
	required := []struct {
		name      string
		isPresent bool
	}{
		{"zone", c.Zone != ""},
		{"data", c.Data.IsValid()},
		{"control", c.WithoutPeers || c.Control.IsValid()},
		{"keys", c.WithoutPeers || c.KeysFile != ""},
		{"certificate", c.WithoutPeers || c.Files.Certificate != ""},
		{"certificate-key", c.WithoutPeers || c.Files.Key != ""},
		{"authority", c.WithoutPeers || c.Files.Authority != ""},
	}
	for _, r := range required {
		if !r.isPresent {
			return c.MissingError(r.name, "a value")
		}
	}
	return nil
}

// MissingError returns the error for a setting that is given neither as a flag nor in the environment or the settings file.
func (c *Common) MissingError(name, expected string) error {
	if c.File != "" {
		return eris.Errorf("%s: field %s: missing, expected %s", c.File, name, expected)
	}
	return eris.Errorf("setting %s: missing, expected %s", name, expected)
}

// LoadSecrets loads the keys and the certificates from the files that the settings name.
func (c *Common) LoadSecrets() (*keys.Set, *control.Credentials, error) {
	set, err := keys.Load(c.KeysFile)
	if err != nil {
		return nil, nil, err
	}
	credentials, err := control.LoadCredentials(c.Files)
	return set, credentials, err
}

// Parse sets the flags of a program from its arguments, the environment (prefix GENTIAN_) and the file that the flag settings
// names. It returns flag.ErrHelp if the arguments request help.
func Parse(fs *flag.FlagSet, args []string, example string, out io.Writer) error {
	fs.SetOutput(out)
	fs.Usage = func() { usage(fs, example) }
	err := ff.Parse(fs, args,
		ff.WithEnvVarPrefix("GENTIAN"),
		ff.WithConfigFileFlag(settingsFileFlag),
		ff.WithConfigFileParser(fileParser(fs)),
	)
	if eris.Is(err, flag.ErrHelp) {
		return flag.ErrHelp
	}
	return eris.Wrap(err, "settings")
}

func usage(fs *flag.FlagSet, example string) {
	_, _ = fmt.Fprintf(fs.Output(), "Usage: %s [flags]\n\nExample:\n  %s\n\nFlags:\n", fs.Name(), example)
	fs.VisitAll(func(f *flag.Flag) { printFlag(fs.Output(), f) })
}

// printFlag writes the help for a flag, with two dashes as in the examples.
func printFlag(out io.Writer, f *flag.Flag) {
	value, text := flag.UnquoteUsage(f)
	_, _ = fmt.Fprintf(out, "  %s\n    \t%s", strings.TrimSpace("--"+f.Name+" "+value), text)
	if f.DefValue != "" && f.DefValue != "false" && f.DefValue != "0" {
		_, _ = fmt.Fprintf(out, " (default %s)", f.DefValue)
	}
	_, _ = fmt.Fprintln(out)
}

// addrPortValue is the flag.Value of an IPv4 address and port.
type addrPortValue struct{ target *netip.AddrPort }

func (v addrPortValue) String() string {
	if v.target == nil || !v.target.IsValid() {
		return ""
	}
	return v.target.String()
}

func (v addrPortValue) Set(text string) error {
	parsed, err := parseIPv4(text)
	if err != nil {
		return err
	}
	*v.target = parsed
	return nil
}

func parseIPv4(text string) (netip.AddrPort, error) {
	parsed, err := netip.ParseAddrPort(text)
	if err != nil || !parsed.Addr().Is4() || parsed.Port() == 0 {
		return netip.AddrPort{}, eris.Errorf("%q, expected an IPv4 address and port such as 10.0.0.1:4400", text)
	}
	return parsed, nil
}

// AddrPortVar defines a flag for an IPv4 address and port.
func AddrPortVar(fs *flag.FlagSet, target *netip.AddrPort, name, usage string) {
	fs.Var(addrPortValue{target}, name, usage)
}

// listValue is the flag.Value of a list.
type listValue[T any] struct {
	target *[]T
	parse  func(string) (T, error)
}

func (v listValue[T]) String() string {
	if v.target == nil {
		return ""
	}
	parts := make([]string, 0, len(*v.target))
	for _, item := range *v.target {
		parts = append(parts, fmt.Sprint(item))
	}
	return strings.Join(parts, ",")
}

func (v listValue[T]) Set(text string) error {
	for _, part := range strings.Split(text, ",") {
		item, err := v.parse(strings.TrimSpace(part))
		if err != nil {
			return err
		}
		*v.target = append(*v.target, item)
	}
	return nil
}

// AddrPortsVar defines a flag for a list of IPv4 addresses and ports, separated by commas or as a YAML list.
func AddrPortsVar(fs *flag.FlagSet, target *[]netip.AddrPort, name, usage string) {
	fs.Var(listValue[netip.AddrPort]{target, parseIPv4}, name, usage)
}

// PrefixesVar defines a flag for a list of networks, separated by commas or as a YAML list.
func PrefixesVar(fs *flag.FlagSet, target *[]netip.Prefix, name, usage string) {
	fs.Var(listValue[netip.Prefix]{target, parsePrefix}, name, usage)
}

func parsePrefix(text string) (netip.Prefix, error) {
	parsed, err := netip.ParsePrefix(text)
	if err != nil {
		return netip.Prefix{}, eris.Errorf("%q, expected a network such as 10.0.0.0/8", text)
	}
	return parsed, nil
}
