package emulator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/standin/fabric"
)

// SetFaults replaces the faults of a stand-in by those in the JSON text.
func SetFaults(url, faults string) error {
	request, err := http.NewRequest(http.MethodPut, url, strings.NewReader(faults))
	if err != nil {
		return eris.Wrap(err, "set faults")
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrap(err, "set faults")
	}
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return eris.Errorf("set faults: status %d", answer.StatusCode)
	}
	return nil
}

// FabricFaultsURL returns the URL of the fabric's faults.
func (e *Emulator) FabricFaultsURL() string {
	return e.fabricURL(fabric.PathFaults)
}

// StoreFaultsURL returns the URL of the store's faults.
func (e *Emulator) StoreFaultsURL() string {
	return "http://" + e.StoreAddress() + "/faults"
}

// SetFabricFaults replaces the faults of the fabric. The zero value removes all faults.
func (e *Emulator) SetFabricFaults(faults fabric.Faults) error {
	text, err := json.Marshal(faults)
	if err != nil {
		return eris.Wrap(err, "set faults")
	}
	return SetFaults(e.FabricFaultsURL(), string(text))
}

func (e *Emulator) fabricURL(path string) string {
	return fmt.Sprintf("http://%s:%d%s", e.ip(hostPlatform), portFaults, path)
}

// setFabricBalancers sets the balancers to which the fabric sends.
func (e *Emulator) setFabricBalancers(balancers []*Process) error {
	var ips bytes.Buffer
	for _, b := range balancers {
		fmt.Fprintf(&ips, "%q,", b.IP)
	}
	list := strings.TrimSuffix(ips.String(), ",")
	return SetFaults(e.fabricURL(fabric.PathBalancers), "["+list+"]")
}
