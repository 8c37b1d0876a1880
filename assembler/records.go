package assembler

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"rosemaryarch.example/rosemaryarch/committer"
	"rosemaryarch.example/rosemaryarch/router"
)

const recordShards = 16

type bills struct {
	open sync.WaitGroup
}

func (i *Instance) bill(_ context.Context, b router.Bill) {
	key := b.Workspace + "/" + b.RequestID
	i.bills.open.Add(1)
	go func() {
		defer i.bills.open.Done()
		value, _ := json.Marshal(b)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
		defer cancel()
		shard := fmt.Sprintf("bills/%d", xxhash.Sum64String(key)%recordShards)
		_, err := i.committer.Submit(ctx, shard, key, committer.Change{Apply: func(old []byte) ([]byte, error) {
			if old != nil {
				return nil, nil
			}
			return value, nil
		}})
		if err != nil {
			klog.Errorf("assembler: bill %s: %v", key, err)
		}
	}()
}

func (b *bills) drain(context.Context) bool {
	b.open.Wait()
	return true
}

func (i *Instance) storedPin(context.Context, string, string) string { return "" }

func (i *Instance) storePin(string, string, string) {}
