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

// requests is what each caller of the command sends.
type requests struct {
	address   string
	authority string
	service   string
	class     string
	count     int
	work      time.Duration
	bytes     int
	events    int
	interval  time.Duration
	profile   profile
}

func callersCommand() *ffcli.Command {
	fs := flag.NewFlagSet("callers", flag.ContinueOnError)
	var l requests
	fs.StringVar(&l.address, "address", "", "`ip:port` of the route")
	fs.StringVar(&l.authority, "authority", "", "PEM `file` with the authority to trust")
	fs.StringVar(&l.service, "service", "", "`name` of the service that must answer")
	fs.StringVar(&l.class, "class", "short", "feed, short or long")
	fs.IntVar(&l.count, "count", 1, "`number` of callers, all at once")
	fs.DurationVar(&l.work, "work", 10*time.Millisecond, "`time` that the target works on each request")
	fs.IntVar(&l.bytes, "bytes", 0, "`size` of each body")
	fs.IntVar(&l.events, "events", 20, "`number` of events of each feed")
	fs.DurationVar(&l.interval, "interval", 100*time.Millisecond, "`time` between two events")
	fs.StringVar(&l.profile.name, "profile", "", "steady or crest: a load of all classes in place of --count requests of one class")
	fs.StringVar(&l.profile.feed, "feed", "", "`ip:port/service` of the route for feeds, for --profile")
	fs.StringVar(&l.profile.short, "short", "", "`ip:port/service` of the route for short requests, for --profile")
	fs.StringVar(&l.profile.long, "long", "", "`ip:port/service` of the route for uploads, for --profile")
	fs.Uint64Var(&l.profile.seed, "seed", 1, "`seed` of the profile")
	fs.DurationVar(&l.profile.length, "length", 30*time.Second, "`time` in which requests of the profile start")
	fs.StringVar(&l.profile.report, "report", "", "`file` for the report of the profile as JSON")
	fs.StringVar(&l.profile.plot, "plot", "", "`file` for the plot of the profile, .svg or .png")
	return &ffcli.Command{Name: "callers", FlagSet: fs, ShortHelp: "callers that open flows and check the answers",
		Exec: func(ctx context.Context, _ []string) error { return l.run(ctx) }}
}

func (l *requests) run(ctx context.Context) error {
	if l.profile.name != "" {
		return l.profile.run(ctx, l.authority)
	}
	kind, err := class.Parse(l.class)
	if err != nil {
		return err
	}
	results := make(chan callers.Result, l.count)
	for range l.count {
		go func() { results <- l.call(ctx, kind) }()
	}
	failed := 0
	for range l.count {
		r := <-results
		fmt.Printf("%s %s %s status=%d events=%d duration=%s error=%v\n",
			r.Request, r.Class, r.Outcome, r.Status, r.Events, r.Duration.Round(time.Millisecond), r.Err)
		if r.Outcome != callers.Done {
			failed++
		}
	}
	if failed > 0 {
		return eris.Errorf("%d of %d requests were not answered whole", failed, l.count)
	}
	return nil
}

func (l *requests) call(ctx context.Context, kind class.Class) callers.Result {
	caller, err := callers.New(l.authority, l.service)
	if err != nil {
		return callers.Result{Outcome: callers.Unreachable, Err: err}
	}
	defer caller.Close()
	return caller.Do(ctx, callers.Request{
		ID: uuid.NewString(), Class: kind, Address: l.address, Work: l.work,
		Body: make([]byte, l.bytes), Events: l.events, Interval: l.interval,
	})
}
