// Command gentian-standin provides stand-ins for the parts around the system in tests and the demo: the store, targets, the
// network fabric and callers. It is not for production.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"gentianswitch/internal/program"
	"gentianswitch/internal/settings"
	"gentianswitch/internal/standin/certificates"
	"gentianswitch/internal/standin/fabric"
	"gentianswitch/internal/standin/kv"
	"gentianswitch/internal/standin/target"
)

const (
	name              = "gentian-standin"
	readHeaderTimeout = 5 * time.Second
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	isVersion := flags.Bool("version", false, "print the version and exit")
	root := &ffcli.Command{
		Name:       name,
		FlagSet:    flags,
		ShortUsage: name + " <store|target|fabric|callers|certificates> [flags]",
		ShortHelp:  "stand-ins for tests and the demo",
		Subcommands: []*ffcli.Command{
			storeCommand(), targetCommand(), fabricCommand(), callersCommand(), certificatesCommand(),
		},
		Exec: func(context.Context, []string) error {
			if !*isVersion {
				return flag.ErrHelp
			}
			fmt.Println(name, program.Version)
			return nil
		},
	}
	if err := root.Parse(args); err != nil {
		return program.ReportUsage(name, err)
	}
	graceful, _ := program.ShutdownContexts()
	if err := root.Run(graceful); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return program.ExitFailed
	}
	return program.ExitOK
}

// serveHTTP serves HTTP at the address until ctx ends.
func serveHTTP(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err = server.Serve(listener)
	if ctx.Err() != nil {
		return nil
	}
	return eris.Wrap(err, "serve")
}

func storeCommand() *ffcli.Command {
	fs := flag.NewFlagSet("store", flag.ContinueOnError)
	listen := fs.String("listen", "127.0.0.1:4390", "`host:port` to serve on")
	return &ffcli.Command{Name: "store", FlagSet: fs, ShortHelp: "the platform's key-value service",
		Exec: func(ctx context.Context, _ []string) error {
			return serveHTTP(ctx, *listen, kv.NewServer().Handler())
		}}
}

func targetCommand() *ffcli.Command {
	fs := flag.NewFlagSet("target", flag.ContinueOnError)
	listen := fs.String("listen", "", "`host:port` to serve on")
	service := fs.String("service", "", "`name` of the service that answers carry")
	slots := fs.Int("slots", 5, "`number` of requests run at once")
	return &ffcli.Command{Name: "target", FlagSet: fs, ShortHelp: "a target",
		Exec: func(ctx context.Context, _ []string) error {
			return serveHTTP(ctx, *listen, target.New(*service, *slots).Handler())
		}}
}

func fabricCommand() *ffcli.Command {
	fs := flag.NewFlagSet("fabric", flag.ContinueOnError)
	var fabricSettings fabric.Settings
	var ips []netip.Prefix
	settings.AddrPortsVar(fs, &fabricSettings.Addresses, "addresses", "addresses that callers use")
	settings.PrefixesVar(fs, &ips, "balancers", "local IPs of the balancers, each as `ip/32`")
	fs.Uint64Var(&fabricSettings.Seed, "seed", 1, "`seed` of the spraying and the faults")
	faultsAddress := fs.String("faults", "", "`host:port` of the endpoint that changes the faults")
	return &ffcli.Command{Name: "fabric", FlagSet: fs, ShortHelp: "the network fabric",
		Exec: func(ctx context.Context, _ []string) error {
			for _, p := range ips {
				fabricSettings.Balancers = append(fabricSettings.Balancers, p.Addr())
			}
			f := fabric.New(fabricSettings)
			if *faultsAddress != "" {
				go func() { _ = serveHTTP(ctx, *faultsAddress, f.Handler()) }()
			}
			return f.Run(ctx)
		}}
}

func certificatesCommand() *ffcli.Command {
	fs := flag.NewFlagSet("certificates", flag.ContinueOnError)
	dir := fs.String("dir", "", "`directory` to write to")
	return &ffcli.Command{Name: "certificates", FlagSet: fs, ShortHelp: "temporary certificates and keys for tests",
		Exec: func(context.Context, []string) error { return certificates.Write(*dir) }}
}
