package assembler

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"testing"

	"rosemaryarch.example/rosemaryarch/administrator"
	"rosemaryarch.example/rosemaryarch/engineclient"
	"rosemaryarch.example/rosemaryarch/hoster"
	"rosemaryarch.example/rosemaryarch/loader"
	"rosemaryarch.example/rosemaryarch/placer"
)

// TestPlacement guards against a placement that is not connected to the instance:
// a version that a new configuration names must be loaded by a command, and a
// shutdown must release the lease.
func TestPlacement(t *testing.T) {
	x := newTestFleet(t, 2, func(_ int, s *loader.Settings) { s.Placement, s.Limits.LoadsPerMinute = true, 600 })
	x.configure()
	const v1 = "      - {name: v1, state: serving}\n"
	text := strings.Replace(x.text, v1, v1+"      - {name: v2, state: canary, share_percent: 20}\n", 1)
	x.eventually("the text with a canary", func() bool {
		_, err := x.admin(0).Apply(context.Background(), administrator.ApplyCall{
			Text: text, FromRevision: 1, ChangeID: "canary",
		})
		return err == nil
	})
	x.eventually("a load of the canary", func() bool {
		return slices.ContainsFunc(x.hoster.Engines, func(e hoster.Engine) bool {
			l, err := engineclient.NewHTTP("http://"+e.Address, "", http.DefaultClient).Load(context.Background())
			return err == nil && e.DataCentre == "fukuoka" && slices.Contains(l.Versions, "small@v2")
		})
	})
	if err := x.instances[0].Shutdown(context.Background()); err != nil {
		t.Errorf("shutdown: %v", err)
	}
	o, err := x.hoster.Store.Store().Get(context.Background(), "placement/fukuoka")
	if err != nil {
		t.Fatal(err)
	}
	var r placer.Record
	if err := json.Unmarshal(o.Value, &r); err != nil || r.Holder != "" || r.FencingNumber == 0 {
		t.Errorf("record after the shutdown: got %+v, %v, want a number and no holder", r, err)
	}
}
