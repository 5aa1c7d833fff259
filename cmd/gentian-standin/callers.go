package main

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"gentianswitch/internal/class"
	"gentianswitch/internal/standin/callers"
)

// callerOptions are the flags of the command callers: the requests that each caller sends, or a load profile in their place.
type callerOptions struct {
	address   string
	authority string
	service   string
	class     string
	count     int
	work      time.Duration
	bytes     int
	events    int
	interval  time.Duration
	profile   profileOptions
}

func callersCommand() *ffcli.Command {
	fs := flag.NewFlagSet("callers", flag.ContinueOnError)
	var o callerOptions
	fs.StringVar(&o.address, "address", "", "`ip:port` of the route")
	fs.StringVar(&o.authority, "authority", "", "PEM `file` with the authority to trust")
	fs.StringVar(&o.service, "service", "", "`name` of the service that must answer")
	fs.StringVar(&o.class, "class", "short", "feed, short or long")
	fs.IntVar(&o.count, "count", 1, "`number` of callers, all at once")
	fs.DurationVar(&o.work, "work", 10*time.Millisecond, "`time` for which the target works on each request")
	fs.IntVar(&o.bytes, "bytes", 0, "`size` of each body")
	fs.IntVar(&o.events, "events", 20, "`number` of events of each feed")
	fs.DurationVar(&o.interval, "interval", 100*time.Millisecond, "`time` between two events")
	fs.StringVar(&o.profile.name, "profile", "",
		"steady or crest: a load of all classes in place of --count requests of one class")
	fs.StringVar(&o.profile.feed, "feed", "", "`ip:port/service` of the route for feeds, for --profile")
	fs.StringVar(&o.profile.short, "short", "", "`ip:port/service` of the route for short requests, for --profile")
	fs.StringVar(&o.profile.long, "long", "", "`ip:port/service` of the route for uploads, for --profile")
	fs.Uint64Var(&o.profile.seed, "seed", 1, "`seed` of the profile")
	fs.DurationVar(&o.profile.length, "length", 30*time.Second, "`time` in which requests of the profile start")
	fs.StringVar(&o.profile.report, "report", "", "`file` for the report of the profile as JSON")
	fs.StringVar(&o.profile.plot, "plot", "", "`file` for the plot of the profile, .svg or .png")
	return &ffcli.Command{Name: "callers", FlagSet: fs, ShortHelp: "callers that open flows and check the answers",
		Exec: func(ctx context.Context, _ []string) error { return o.run(ctx) }}
}

func (o *callerOptions) run(ctx context.Context) error {
	if o.profile.name != "" {
		return o.profile.run(ctx, o.authority)
	}
	kind, err := class.Parse(o.class)
	if err != nil {
		return err
	}
	results := make(chan callers.Result, o.count)
	for range o.count {
		go func() { results <- o.sendRequest(ctx, kind) }()
	}
	failed := 0
	for range o.count {
		r := <-results
		fmt.Printf("%s %s %s status=%d events=%d duration=%s error=%v\n",
			r.Request, r.Class, r.Outcome, r.Status, r.Events, r.Duration.Round(time.Millisecond), r.Err)
		if r.Outcome != callers.Done {
			failed++
		}
	}
	if failed > 0 {
		return eris.Errorf("%d of %d requests were not answered completely", failed, o.count)
	}
	return nil
}

func (o *callerOptions) sendRequest(ctx context.Context, kind class.Class) callers.Result {
	caller, err := callers.New(o.authority, o.service)
	if err != nil {
		return callers.Result{Outcome: callers.Unreachable, Err: err}
	}
	defer caller.Close()
	return caller.Do(ctx, callers.Request{
		ID: uuid.NewString(), Class: kind, Address: o.address, Work: o.work,
		Body: make([]byte, o.bytes), Events: o.events, Interval: o.interval,
	})
}
