package route

import "github.com/rotisserie/eris"

// Strategy chooses one candidate of an availability zone for each flow.
type Strategy interface {
	// Name is the value of the setting placement.
	Name() string
	// compile prepares a chooser for a non-empty list in the order of the seeds.
	compile(candidates []candidate) chooser
}

// chooser returns the index of a candidate. It is immutable and safe for concurrent use.
type chooser interface {
	choose(flow uint64) int
}

// StrategyByName returns the strategy with the given name.
func StrategyByName(name string) (Strategy, error) {
	for _, s := range []Strategy{Slots{}, Rendezvous{}} {
		if s.Name() == name {
			return s, nil
		}
	}
	return nil, eris.Errorf("placement %q, expected slots or rendezvous", name)
}
