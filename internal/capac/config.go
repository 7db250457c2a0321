package main

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"briarworks.example/briarworks/internal/record"
	"briarworks.example/briarworks/internal/wire/wirepb"
	"briarworks.example/briarworks/pkg/order"
	"briarworks.example/briarworks/pkg/rules"
)

const (
	rankCount   = 4 // kinds of the first rank are protected
	compileRuns = 5 // compilations over which the time is averaged
)

// configDocument returns a configuration document with n services and n kinds in two regions.
func configDocument(n int) string {
	var b strings.Builder
	b.WriteString("fleet: capacity\ndataCentres:\n")
	for i := range dataCentreCount {
		fmt.Fprintf(&b, "  - name: centre-%d\n    region: region-%d\n", i, i%2)
	}
	b.WriteString("services:\n")
	for i := range n {
		fmt.Fprintf(&b, "  - name: %s\n    slots: 100\n    connections: 700\n    servers: 36\n    dataCentres: [centre-0, centre-1, centre-2, centre-3, centre-4, centre-5, centre-6, centre-7]\n", serviceName(i))
	}
	b.WriteString("ranks:\n")
	for i := range rankCount {
		fmt.Fprintf(&b, "  - name: rank%d\n", i)
	}
	b.WriteString("kinds:\n")
	for i := range n {
		fmt.Fprintf(&b, "  - name: kind%03d\n    rank: rank%d\n    service: %s\n    method: POST\n    path: /kind-%03d\n    deadline: 2s\n    idempotent: true\n    protected: %t\n    target: Done before the office opens.\n", i, i%rankCount, serviceName(i), i, i%rankCount == 0)
	}
	b.WriteString("rules:\n  retryBound: 3\n  maxDepth: 22\n  keyWindow: 24h\n  logRetention: 48h\n")
	return b.String()
}

// measureConfigs measures configuration documents by the number of services, which equals that of kinds.
func measureConfigs(ctx context.Context, t *table) error {
	for _, n := range []int{5, 27, 100, 250} {
		if err := ctx.Err(); err != nil {
			return err
		}
		if err := measureConfig(t, n); err != nil {
			return err
		}
	}
	return nil
}

// measureConfig measures a configuration document with n services and n kinds.
func measureConfig(t *table, n int) error {
	x, xLabel := float64(n), "services and kinds"
	text := configDocument(n)
	if _, err := compile(text); err != nil {
		return err
	}
	t.add("document", "bytes", xLabel, x, float64(len(text)))
	before := heapInUse()
	snapshot, err := compile(text)
	t.add("memory of the snapshot", "bytes", xLabel, x, heapInUse()-before)
	t.add("decode and compile", "us", xLabel, x, meanMicros(compileRuns, func(int) { _, _ = compile(text) }))
	publish := order.Publish{ID: sampleID, Base: 1, Document: text, Author: "operator", At: time.Now()}
	t.add("publish record", "bytes", xLabel, x, groupSize(record.FromOrder(order.Record{Publish: &publish})))
	reply := &wirepb.SyncReply{Digest: 1, ConfigVersion: 2, Config: &wirepb.Config{Version: 2, Through: 2, Document: text, Author: "operator", RecordId: sampleID}}
	t.add("sync reply with the document", "bytes", xLabel, x, float64(proto.Size(reply)))
	runtime.KeepAlive(snapshot)
	return err
}

// compile decodes and compiles a configuration document.
func compile(text string) (*rules.Snapshot, error) {
	d, err := rules.Decode("capacity", []byte(text))
	if err != nil {
		return nil, err
	}
	return rules.Compile(d)
}
