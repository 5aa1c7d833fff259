package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/class"
	"gentianswitch/internal/load"
	"gentianswitch/internal/report"
)

// Names of the profiles.
const (
	profileSteady = "steady"
	profileCrest  = "crest"
)

// profile is a load of all classes with a report, in place of requests of one class.
type profile struct {
	name   string
	feed   string
	short  string
	long   string
	seed   uint64
	length time.Duration
	report string
	plot   string
}

func (p *profile) run(ctx context.Context, authority string) error {
	built, err := p.build()
	if err != nil {
		return err
	}
	built.Authority = authority
	r, err := load.Run(ctx, built)
	if err != nil {
		return err
	}
	if err := p.write(r); err != nil {
		return err
	}
	if r.FlowsBroken+r.Wrong+r.Cut > 0 {
		return eris.Errorf("%d feeds broken, %d answers wrong, %d cut", r.FlowsBroken, r.Wrong, r.Cut)
	}
	return nil
}

func (p *profile) build() (load.Profile, error) {
	var streams []load.Stream
	for _, s := range []struct {
		class class.Class
		text  string
	}{{class.Feed, p.feed}, {class.Short, p.short}, {class.Long, p.long}} {
		address, service, ok := strings.Cut(s.text, "/")
		if !ok {
			return load.Profile{}, eris.Errorf("flag %s: %q, expected ip:port/service", s.class, s.text)
		}
		streams = append(streams, load.NewStream(s.class, address, service))
	}
	switch p.name {
	case profileSteady:
		return load.SteadyMix(streams[0], streams[1], streams[2], p.seed, p.length), nil
	case profileCrest:
		return load.PeakMix(streams[0], streams[1], streams[2], p.seed, p.length), nil
	default:
		return load.Profile{}, eris.Errorf("profile %q, expected %s or %s", p.name, profileSteady, profileCrest)
	}
}

func (p *profile) write(r *report.Report) error {
	if err := r.WriteText(os.Stdout); err != nil {
		return err
	}
	if p.report != "" {
		if err := r.SaveJSON(p.report); err != nil {
			return err
		}
	}
	if p.plot == "" {
		return nil
	}
	fmt.Println("plot in", p.plot)
	return r.SavePlot(p.plot)
}
