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

// Values of the flag profile.
const (
	profileSteady = "steady"
	profileCrest  = "crest"
)

// profileOptions are the flags of a load profile. It sends requests of all classes and writes a report.
type profileOptions struct {
	name   string
	feed   string
	short  string
	long   string
	seed   uint64
	length time.Duration
	report string
	plot   string
}

func (p *profileOptions) run(ctx context.Context, authority string) error {
	built, err := p.loadProfile()
	if err != nil {
		return err
	}
	built.Authority = authority
	r, err := load.Run(ctx, built)
	if err != nil {
		return err
	}
	if err := p.writeReport(r); err != nil {
		return err
	}
	if r.FlowsBroken+r.Wrong+r.Cut > 0 {
		return eris.Errorf("%d feeds broken, %d answers wrong, %d cut", r.FlowsBroken, r.Wrong, r.Cut)
	}
	return nil
}

// loadProfile returns the load profile that the flags describe.
func (p *profileOptions) loadProfile() (load.Profile, error) {
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

func (p *profileOptions) writeReport(r *report.Report) error {
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
