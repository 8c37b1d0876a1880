package hoster

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"

	"rosemaryarch.example/rosemaryarch/clock"
	"rosemaryarch.example/rosemaryarch/engineemulator"
	"rosemaryarch.example/rosemaryarch/listclient"
	"rosemaryarch.example/rosemaryarch/loader"
	"rosemaryarch.example/rosemaryarch/parser"
	"rosemaryarch.example/rosemaryarch/platformemulator"
	"rosemaryarch.example/rosemaryarch/storeemulator"
)

// Options describe the emulators.
type Options struct {
	Fleet          *parser.Fleet // configuration whose data centres, models and plain service are emulated
	ModelEngines   int           // number of model engines
	PlainEndpoints int           // number of endpoints of the plain service
	Instances      int           // number of router instances in the instance list
	// BasePort is added to the port offsets; 0 selects free ports.
	BasePort int
	// ExtraVersions holds the mean quality, 0 to 1, of additional versions, by version
	// key. The engines of the model hold these versions from the start.
	ExtraVersions map[string]float64
	EngineOptions engineemulator.Options // for each engine, ID and Versions are set and its index is added to Seed
	ListDelay     clock.Millis           // age of the instance list that the platform returns
	// Dir is the directory for keys and settings.
	Dir string
	// Listen opens the listeners; it uses TCP if nil.
	Listen func(network, address string) (net.Listener, error)
}

// Engine is an emulated model engine with its entry in the instance list.
type Engine struct {
	*engineemulator.Emulator
	listclient.Member
}

// Hoster runs the emulators until Close.
type Hoster struct {
	Store          *storeemulator.Emulator
	Platform       *platformemulator.Emulator
	Engines        []Engine
	PlainEndpoints []listclient.Member // endpoints of the plain service

	options  Options
	settings []loader.Settings
	servers  []*http.Server
}

// Loopback address of all servers, and offsets of their ports from BasePort.
// Engines, endpoints of the plain service and instances are numbered from 1.
const (
	loopback       = "127.0.0.1"
	storeOffset    = 1
	platformOffset = 2
	engineOffset   = 100
	plainOffset    = 300
	callerOffset   = 1100
)

// Keys in the generated settings.
const (
	OperatorKey = "demo-operator-key"
	PeerSecret  = "demo-peer-secret-0001"
)

// New starts the emulators and writes the keys file.
func New(o Options) (*Hoster, error) {
	if o.Listen == nil {
		o.Listen = net.Listen
	}
	h := &Hoster{options: o, Store: storeemulator.New()}
	h.Platform = platformemulator.New(platformemulator.Options{
		Quality: h.qualities(), ListDelay: o.ListDelay, Seed: o.EngineOptions.Seed,
	})
	store, err := h.serve(storeOffset, h.Store)
	if err != nil {
		return nil, err
	}
	platform, err := h.serve(platformOffset, h.Platform)
	if err != nil {
		return nil, err
	}
	for _, start := range []func() error{h.startEngines, h.startPlain} {
		if err := start(); err != nil {
			h.Close()
			return nil, err
		}
	}
	return h, h.composeSettings("http://"+store, "http://"+platform)
}

// Close stops all emulators.
func (h *Hoster) Close() {
	for _, s := range h.servers {
		_ = s.Close()
	}
}

// qualities returns the mean quality of each version: the one in
// Options.ExtraVersions, or else the prior quality of its model.
func (h *Hoster) qualities() map[string]float64 {
	all := map[string]float64{}
	for _, m := range h.options.Fleet.Models {
		for _, v := range m.Versions {
			all[v.Key] = m.PriorQuality
		}
	}
	for v, q := range h.options.ExtraVersions {
		all[v] = q
	}
	return all
}

// serve starts a server at a port offset and returns its address.
func (h *Hoster) serve(offset int, handler http.Handler) (string, error) {
	l, err := h.options.Listen("tcp", h.address(offset))
	if err != nil {
		return "", errors.Wrap(err, "hoster: listen")
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	h.servers = append(h.servers, s)
	go func() { _ = s.Serve(l) }() // returns after Close
	return l.Addr().String(), nil
}

func (h *Hoster) address(offset int) string {
	if h.options.BasePort == 0 {
		return loopback + ":0"
	}
	return fmt.Sprintf("%s:%d", loopback, h.options.BasePort+offset)
}

func (h *Hoster) dataCentre(i int) string {
	d := h.options.Fleet.DataCentres
	return d[i%len(d)].Name
}

// modelOfGroup returns the model of a group of engines. A group has one engine in
// each data centre. Larger models, which are last in the configuration, get more
// groups, since their answers take longer.
func (h *Hoster) modelOfGroup(group int) parser.Model {
	models := h.options.Fleet.Models
	last := len(models) - 1
	order := []int{last, 0, last, last / 2, (last + 1) / 2}
	return models[order[group%len(order)]]
}

// startEngines starts the model engines. With enough engines, every data centre
// has engines of every model.
func (h *Hoster) startEngines() error {
	centres := len(h.options.Fleet.DataCentres)
	for i := range h.options.ModelEngines {
		model := h.modelOfGroup(i / centres)
		o := h.options.EngineOptions
		o.ID = fmt.Sprintf("engine-%02d", i+1)
		o.Seed += uint64(i)
		o.Versions = h.versionsOf(model)
		e := engineemulator.New(o)
		address, err := h.serve(engineOffset+i+1, e)
		if err != nil {
			return err
		}
		m := listclient.Member{
			ID: o.ID, Address: address, DataCentre: h.dataCentre(i), Kind: listclient.KindModel, State: listclient.StateLive,
		}
		h.Engines = append(h.Engines, Engine{Emulator: e, Member: m})
		h.Platform.SetMember(m)
	}
	return nil
}

// versionsOf returns the keys of all versions of a model.
func (h *Hoster) versionsOf(m parser.Model) []string {
	var keys []string
	for _, v := range m.Versions {
		keys = append(keys, v.Key)
	}
	for v := range h.options.ExtraVersions {
		if len(v) > len(m.Name) && v[:len(m.Name)+1] == m.Name+"@" {
			keys = append(keys, v)
		}
	}
	return keys
}

// startPlain starts the endpoints of the last plain service of the configuration,
// if it has one.
func (h *Hoster) startPlain() error {
	service := ""
	for _, s := range h.options.Fleet.Services {
		if s.Kind == parser.KindPlain {
			service = s.Name
		}
	}
	if service == "" {
		return nil
	}
	for i := range h.options.PlainEndpoints {
		id := fmt.Sprintf("%s-%02d", service, i+1)
		address, err := h.serve(plainOffset+i+1, h.Platform.Service(id))
		if err != nil {
			return err
		}
		m := listclient.Member{
			ID: id, Address: address, DataCentre: h.dataCentre(i), Kind: listclient.KindPlain, Service: service,
			State: listclient.StateLive,
		}
		h.PlainEndpoints = append(h.PlainEndpoints, m)
		h.Platform.SetMember(m)
	}
	return nil
}

// Settings returns the settings of the instances.
func (h *Hoster) Settings() []loader.Settings { return h.settings }

// KeysFile returns the path of the keys file of the instances.
func (h *Hoster) KeysFile() string { return filepath.Join(h.options.Dir, "keys.yaml") }

// composeSettings writes the keys file, generates the settings of the instances,
// and adds the instances to the instance list.
func (h *Hoster) composeSettings(store, platform string) error {
	keys := fmt.Sprintf("operator_sha256:\n  - %s\npeer_secrets:\n  - %s\n", parser.HashKey(OperatorKey), PeerSecret)
	if err := os.WriteFile(h.KeysFile(), []byte(keys), 0o600); err != nil {
		return errors.Wrap(err, "hoster: write keys")
	}
	// One call finds the addresses of both kinds, so that all are different.
	addresses, err := h.freeAddresses(callerOffset+1, 2*h.options.Instances)
	if err != nil {
		return err
	}
	callers, peers := addresses[:h.options.Instances], addresses[h.options.Instances:]
	var longest clock.Millis
	for _, s := range h.options.Fleet.Services {
		longest = max(longest, s.DeadlineMS)
	}
	for i := range h.options.Instances {
		d := h.options.Fleet.DataCentres[i%len(h.options.Fleet.DataCentres)]
		s := loader.Settings{
			Instance: fmt.Sprintf("entry-%d", i+1), DataCentre: d.Name, Region: d.Region, Listen: callers[i],
			PeerListen: peers[i], Store: store, InstanceList: platform, Rating: platform,
			WeightStore: platform, KeysFile: h.KeysFile(),
		}
		s.Limits.MaxRequestMS = longest
		h.settings = append(h.settings, s)
		h.Platform.SetMember(listclient.Member{
			ID: s.Instance, Address: peers[i], DataCentre: d.Name, Kind: listclient.KindInstance, State: listclient.StateLive,
		})
	}
	return nil
}

// freeAddresses returns n different addresses. They are those from the port offset
// on, or addresses with free ports if Options.BasePort is 0.
func (h *Hoster) freeAddresses(offset, n int) ([]string, error) {
	var addresses []string
	for k := range n {
		if h.options.BasePort != 0 {
			addresses = append(addresses, h.address(offset+k))
			continue
		}
		l, err := net.Listen("tcp", loopback+":0")
		if err != nil {
			return nil, errors.Wrap(err, "hoster: find a free port")
		}
		defer l.Close() // kept open until all are found, so that all are different
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// WriteSettings writes one settings file for each instance and a file with the
// operator key, and returns the paths of the files.
func (h *Hoster) WriteSettings() ([]string, error) {
	var files []string
	for _, s := range h.settings {
		text, err := yaml.Marshal(s)
		if err != nil {
			return nil, errors.Wrap(err, "hoster: encode settings")
		}
		file := filepath.Join(h.options.Dir, s.Instance+".yaml")
		if err := os.WriteFile(file, text, 0o600); err != nil {
			return nil, errors.Wrap(err, "hoster: write settings")
		}
		files = append(files, file)
	}
	key := filepath.Join(h.options.Dir, "operator.key")
	if err := os.WriteFile(key, []byte(OperatorKey+"\n"), 0o600); err != nil {
		return nil, errors.Wrap(err, "hoster: write operator key")
	}
	return append(files, key), nil
}
