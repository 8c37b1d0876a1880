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

// Guards against messages whose size grows with the number of workspaces.
func TestLargestDemands(t *testing.T) {
	var list []Demand
	for i := range 100 {
		list = append(list, Demand{Service: uint64(i % 2), Workspace: uint64(i), Rate: float32(i)})
	}
	list = LargestDemands(list)
	if got, want := len(list), 2*MaxDemands; got != want {
		t.Fatalf("demands of two services: got %d, want %d", got, want)
	}
	if got, want := list[len(list)-1].Rate, float32(100-2*MaxDemands); got != want {
		t.Errorf("least demand: got %v, want %v", got, want)
	}
}
