package heartbeater

import (
	"math"
	"reflect"
	"testing"

	"rosemaryarch.example/rosemaryarch/clock"
)

// Guards against an instance that judges the demand of a workspace by what it receives
// itself, against bytes between data centres for workspaces that matter little there, and
// against instances of the previous build, or impossible rates, that count as demand.
func TestDemands(t *testing.T) {
	now := clock.Minute
	sender, receiver := newIdle(t, &now, "a0", "a"), newIdle(t, &now, "b0", "b")
	report := func(h *Heartbeater, name, dataCentre string, list []Demand) {
		h.handleMessage(&Message{
			From: Member{Name: name, DataCentre: dataCentre, Incarnation: 1}, LoadsComplete: true, Demands: list,
		})
	}
	own := []Demand{{Service: 9, Workspace: 1, Rate: 0.5}, {Service: 9, Workspace: 2, Rate: 0.0625}}
	report(sender, "a1", "a", own)
	report(sender, "a2", "a", []Demand{{Service: 9, Workspace: 2, Rate: 0.0625}, {Service: 8, Workspace: 2, Rate: 1}})
	report(sender, "a3", "a", nil) // the previous build
	report(sender, "a4", "a", []Demand{
		{Service: 9, Workspace: 3, Rate: float32(math.Inf(1))}, {Service: 9, Workspace: 4, Rate: float32(math.NaN())},
	})
	sum, _, unknown := sender.Demands(9)
	if want := (DemandSum{3, map[uint64]float64{1: 0.5, 2: 0.125}}); !reflect.DeepEqual(sum, want) || unknown != 1 {
		t.Errorf("neighbours: got %v and %d unknown, want %v and 1", sum, unknown, want)
	}
	if reporting, alive := sender.Reporting(); reporting != 4 || alive != 4 {
		t.Errorf("reporting: got %d of %d, want 4 of 4", reporting, alive)
	}

	sender = newIdle(t, &now, "a0", "a")
	report(sender, "a1", "a", own)
	report(sender, "a2", "a", []Demand{{Service: 9, Workspace: 2, Rate: 0.0625}, {Service: 9, Workspace: 3, Rate: 1}})
	data, err := (&Message{
		From: Member{Name: "a0", DataCentre: "a", Incarnation: 1}, Summary: sender.buildSummary(now, &Message{}),
		DemandSums: sender.demandSums(now, own),
	}).encode()
	if err != nil {
		t.Fatal(err)
	}
	m, err := decode(data)
	if err != nil {
		t.Fatal(err)
	}
	receiver.handleMessage(m)
	_, others, _ := receiver.Demands(9)
	if want := []DemandSum{{3, map[uint64]float64{1: 1, 3: 1}}}; !reflect.DeepEqual(others, want) {
		t.Errorf("other data centres: got %v, want %v (0.1875 of 2.1875 is less than an eighth)", others, want)
	}
	now += remoteTimeout
	if _, others, _ := receiver.Demands(9); len(others) != 0 {
		t.Errorf("after silence: got %v, want none", others)
	}
}

// Guards against messages whose size grows with the number of workspaces or services.
func TestLargestDemands(t *testing.T) {
	var list []Demand
	for i := range 100 {
		list = append(list, Demand{Service: uint64(i % 2), Workspace: uint64(i), Rate: float32(i)})
	}
	list = LargestDemands(list)
	if got, want := len(list), MaxDemands; got != want {
		t.Fatalf("demands of two services: got %d, want %d", got, want)
	}
	if got, want := list[len(list)-1].Rate, float32(100-MaxDemands); got != want {
		t.Errorf("least demand: got %v, want %v", got, want)
	}
}

// Guards against a wrong message of a peer that makes demand impossible: a rate that is not
// a positive number, a list of any length, or a number of instances below 1 or above that of
// any data centre.
func TestImpossibleDemands(t *testing.T) {
	now := clock.Minute
	h := newIdle(t, &now, "a0", "a")
	var list []Demand
	for i, rate := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, maxDemandRate} {
		list = append(list, Demand{Service: 9, Workspace: uint64(i), Rate: float32(rate)})
	}
	for i := range 2 * MaxDemands {
		list = append(list, Demand{Service: 9, Workspace: uint64(100 + i), Rate: 1})
	}
	h.handleMessage(&Message{
		From: Member{Name: "a1", DataCentre: "a", Incarnation: 1}, LoadsComplete: true, Demands: list,
	})
	for i, instances := range []int{math.MinInt, -1, 0, 1, maxSummaryInstances, maxSummaryInstances + 1, math.MaxInt} {
		name := string(rune('b' + i))
		h.handleMessage(&Message{
			From:    Member{Name: name + "0", DataCentre: name, Incarnation: 1},
			Summary: &Summary{Instances: instances}, DemandSums: list,
		})
	}
	neighbours, others, _ := h.Demands(9)
	if len(others) != 2 {
		t.Errorf("other data centres: got %d, want 2", len(others))
	}
	for _, sum := range append(others, neighbours) {
		if sum.Instances < 1 || sum.Instances > maxSummaryInstances {
			t.Errorf("instances: got %d", sum.Instances)
		}
		if got := len(sum.Rates); got != MaxDemands {
			t.Errorf("workspaces: got %d, want %d", got, MaxDemands)
		}
		for w, rate := range sum.Rates {
			if rate != 1 {
				t.Errorf("workspace %d: got %v, want 1", w, rate)
			}
		}
	}
	for p := range h.reportingNeighbours(now) {
		if got := len(p.demands); got != MaxDemands {
			t.Errorf("kept of the message: got %d, want %d", got, MaxDemands)
		}
	}
}
