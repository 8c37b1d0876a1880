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

// Options describe the stand-ins.
type Options struct {
	Fleet     *parser.Fleet
	Models    int // model engines
	Plain     int // endpoints of the plain service
	Instances int // entry instances that the instance list names
	// BasePort is the first of the ports in use; 0 takes free ports.
	BasePort int
	// Versions are further version keys with their mean quality, which the
	// engines of their model load.
	Versions map[string]float64
	Engine   engineemulator.Options // ID and Versions are set for each engine
	ListLag  clock.Millis
	// Dir is where keys and settings are written.
	Dir string
	// Listen opens the listeners; TCP if nil.
	Listen func(network, address string) (net.Listener, error)
}

// Engine is one model engine.
type Engine struct {
	*engineemulator.Emulator
	listclient.Member
}

// Hoster serves the stand-ins until Close.
type Hoster struct {
	Store    *storeemulator.Emulator
	Platform *platformemulator.Emulator
	Engines  []Engine
	Plain    []listclient.Member

	o        Options
	settings []loader.Settings
	servers  []*http.Server
}

// The offsets of the ports from BasePort.
const (
	host           = "127.0.0.1"
	storeOffset    = 1
	platformOffset = 2
	engineOffset   = 100
	plainOffset    = 300
	callerOffset   = 1100
)

// The keys that the stand-ins' settings use.
const (
	OperatorKey = "demo-operator-key"
	PeerSecret  = "demo-peer-secret-0001"
)

// New starts the stand-ins.
func New(o Options) (*Hoster, error) {
	if o.Listen == nil {
		o.Listen = net.Listen
	}
	h := &Hoster{o: o, Store: storeemulator.New()}
	h.Platform = platformemulator.New(platformemulator.Options{
		Quality: h.qualities(), ListLag: o.ListLag, Seed: o.Engine.Seed,
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

// Close stops all stand-ins.
func (h *Hoster) Close() {
	for _, s := range h.servers {
		_ = s.Close()
	}
}

// qualities returns the mean quality of each version: its model's prior, or the
// given one.
func (h *Hoster) qualities() map[string]float64 {
	all := map[string]float64{}
	for _, m := range h.o.Fleet.Models {
		for _, v := range m.Versions {
			all[v.Key] = m.PriorQuality
		}
	}
	for v, q := range h.o.Versions {
		all[v] = q
	}
	return all
}

// serve starts one server and returns its address.
func (h *Hoster) serve(offset int, handler http.Handler) (string, error) {
	l, err := h.o.Listen("tcp", h.address(offset))
	if err != nil {
		return "", errors.Wrap(err, "hoster: listen")
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	h.servers = append(h.servers, s)
	go func() { _ = s.Serve(l) }() // ends with Close
	return l.Addr().String(), nil
}

func (h *Hoster) address(offset int) string {
	if h.o.BasePort == 0 {
		return host + ":0"
	}
	return fmt.Sprintf("%s:%d", host, h.o.BasePort+offset)
}

func (h *Hoster) dataCentre(i int) string {
	d := h.o.Fleet.DataCentres
	return d[i%len(d)].Name
}

// modelOf returns the model of a group of engines, one in each data centre.
// Larger models, which stand last, get more groups, since their answers take longer.
func (h *Hoster) modelOf(group int) parser.Model {
	models := h.o.Fleet.Models
	last := len(models) - 1
	order := []int{last, 0, last, last / 2, (last + 1) / 2}
	return models[order[group%len(order)]]
}

// startEngines gives every data centre engines of every model if there are enough.
func (h *Hoster) startEngines() error {
	centres := len(h.o.Fleet.DataCentres)
	for i := range h.o.Models {
		model := h.modelOf(i / centres)
		o := h.o.Engine
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

func (h *Hoster) versionsOf(m parser.Model) []string {
	var keys []string
	for _, v := range m.Versions {
		keys = append(keys, v.Key)
	}
	for v := range h.o.Versions {
		if len(v) > len(m.Name) && v[:len(m.Name)+1] == m.Name+"@" {
			keys = append(keys, v)
		}
	}
	return keys
}

func (h *Hoster) startPlain() error {
	service := ""
	for _, s := range h.o.Fleet.Services {
		if s.Kind == parser.KindPlain {
			service = s.Name
		}
	}
	if service == "" {
		return nil
	}
	for i := range h.o.Plain {
		id := fmt.Sprintf("%s-%02d", service, i+1)
		address, err := h.serve(plainOffset+i+1, h.Platform.Service(id))
		if err != nil {
			return err
		}
		m := listclient.Member{
			ID: id, Address: address, DataCentre: h.dataCentre(i), Kind: listclient.KindPlain, Service: service,
			State: listclient.StateLive,
		}
		h.Plain = append(h.Plain, m)
		h.Platform.SetMember(m)
	}
	return nil
}

// Settings returns the settings of the instances.
func (h *Hoster) Settings() []loader.Settings { return h.settings }

// KeysFile returns the file with the instances' keys.
func (h *Hoster) KeysFile() string { return filepath.Join(h.o.Dir, "keys.yaml") }

func (h *Hoster) composeSettings(store, platform string) error {
	keys := fmt.Sprintf("operator_sha256:\n  - %s\npeer_secrets:\n  - %s\n", parser.HashKey(OperatorKey), PeerSecret)
	if err := os.WriteFile(h.KeysFile(), []byte(keys), 0o600); err != nil {
		return errors.Wrap(err, "hoster: write keys")
	}
	// Both ranges are one, so that no address is taken twice.
	addresses, err := h.reserve(callerOffset+1, 2*h.o.Instances)
	if err != nil {
		return err
	}
	callers, peers := addresses[:h.o.Instances], addresses[h.o.Instances:]
	var longest clock.Millis
	for _, s := range h.o.Fleet.Services {
		longest = max(longest, s.DeadlineMS)
	}
	for i := range h.o.Instances {
		d := h.o.Fleet.DataCentres[i%len(h.o.Fleet.DataCentres)]
		s := loader.Settings{
			Instance: fmt.Sprintf("entry-%d", i+1), DataCentre: d.Name, Region: d.Region, Listen: callers[i],
			PeerListen: peers[i], Store: store, List: platform, Rating: platform, Weights: platform, KeysFile: h.KeysFile(),
		}
		s.Limits.LongestRequestMS = longest
		h.settings = append(h.settings, s)
		h.Platform.SetMember(listclient.Member{
			ID: s.Instance, Address: peers[i], DataCentre: d.Name, Kind: listclient.KindEntry, State: listclient.StateLive,
		})
	}
	return nil
}

// reserve returns n different addresses that are free now, from the given
// offset on.
func (h *Hoster) reserve(offset, n int) ([]string, error) {
	var addresses []string
	for k := range n {
		if h.o.BasePort != 0 {
			addresses = append(addresses, h.address(offset+k))
			continue
		}
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, errors.Wrap(err, "hoster: find a free port")
		}
		defer l.Close() // held until all are found, so that they differ
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// WriteSettings writes one settings file for each instance and the operator's
// key, and returns the files' names.
func (h *Hoster) WriteSettings() ([]string, error) {
	var files []string
	for _, s := range h.settings {
		text, err := yaml.Marshal(s)
		if err != nil {
			return nil, errors.Wrap(err, "hoster: encode settings")
		}
		file := filepath.Join(h.o.Dir, s.Instance+".yaml")
		if err := os.WriteFile(file, text, 0o600); err != nil {
			return nil, errors.Wrap(err, "hoster: write settings")
		}
		files = append(files, file)
	}
	key := filepath.Join(h.o.Dir, "operator.key")
	if err := os.WriteFile(key, []byte(OperatorKey+"\n"), 0o600); err != nil {
		return nil, errors.Wrap(err, "hoster: write operator key")
	}
	return append(files, key), nil
}
