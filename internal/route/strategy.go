package route

import "github.com/rotisserie/eris"

// Strategy is a method of choosing one of the candidates in an availability zone for each flow.
type Strategy interface {
	// Name returns the value of the setting placement that selects the strategy. Logs use it too.
	Name() string
	// compile returns a chooser for a non-empty list of candidates in the order of compareCandidates.
	compile(candidates []candidate) chooser
}

// chooser chooses among the candidates for which it was compiled. It is immutable and safe for concurrent use.
type chooser interface {
	// choose returns the index of the candidate for a flow, which is given by its hash.
	choose(flow uint64) int
}

// StrategyByName returns the strategy with the given name.
func StrategyByName(name string) (Strategy, error) {
	for _, s := range []Strategy{SlotHashing{}, Rendezvous{}} {
		if s.Name() == name {
			return s, nil
		}
	}
	return nil, eris.Errorf("placement %q, expected slots or rendezvous", name)
}
