package node

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"briarworks.example/briarworks/internal/applog"
	"briarworks.example/briarworks/internal/config"
	"briarworks.example/briarworks/internal/fakes"
	"briarworks.example/briarworks/internal/peer"
	"briarworks.example/briarworks/internal/probe"
	"briarworks.example/briarworks/internal/record"
	"briarworks.example/briarworks/internal/setup"
	"briarworks.example/briarworks/internal/wire/wirepb"
	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/order"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Required times.
const (
	configTimeLimit = 10 * time.Second
	leaveTimeLimit  = 3 * time.Second
)

// Guards against failures of several nodes together under the fault that each case names. The comment of a case
// names the defect that makes it fail.
func TestFleet(t *testing.T) {
	tests := map[string]func(*testFleet){
		"retries with cuts and shedding":        retriesWithCutsAndShedding,
		"retries with silent connections":       retriesWithSilentConnections,
		"stop beside a reader that stalls":      stopBesideStalledReader,
		"retries when the entry is full":        retriesWhenTheEntryIsFull,
		"retries when the deep service is gone": retriesWhenTheDeepServiceIsGone,
		"answers late and out of order":         answersLateAndOutOfOrder,
		"mass start":                            massStart,
		"configuration without the log":         configurationWithoutTheLog,
		"configuration when the seed is gone":   configurationWhenTheSeedIsGone,
		"configuration after a restart":         configurationAfterARestart,
		"start behind a peer or a carry":        configFromPeerOrCarry,
		"start behind the members of a peer":    membersFromPeer,
		"ordinary work with the log slow": func(f *testFleet) {
			requestsDuringLogFault(f, fakes.LogFaults{Slow: fakes.Duration(3 * requestTimeLimit)})
		},
		"ordinary work with the log out":       func(f *testFleet) { requestsDuringLogFault(f, fakes.LogFaults{Refuse: true}) },
		"leave with the log out":               leaveWithTheLogOut,
		"start with the log out":               startWithTheLogOut,
		"stop of an entry with work in flight": stopOfAnEntry,
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(newTestFleet(t))
		})
	}
}

// startChain starts two servers of each of three services and waits until all of them serve.
func (f *testFleet) startChain() (entry, middle, deep []*member) {
	f.Helper()
	f.publish("first", 0)
	for range 2 {
		entry = append(entry, f.add("entry", "middle", nil))
		middle = append(middle, f.add("middle", "deep", nil))
		deep = append(deep, f.add("deep", "", nil))
	}
	f.waitReady(1)
	return entry, middle, deep
}

// waitReady waits until all nodes know all others and have a version in force.
func (f *testFleet) waitReady(v ident.Version) {
	f.Helper()
	f.waitFor(waitLimit, "all nodes know the fleet and the configuration", func() bool {
		for _, m := range f.members {
			for _, other := range f.members {
				if !m.knows(other.settings.Server) {
					return false
				}
			}
		}
		return f.inForce(v, f.members...)
	})
}

// checkRetries checks that some request was retried, and none more often than retryBound.
func (f *testFleet) checkRetries() {
	f.Helper()
	most, all := 0, f.attempts.retries()
	for _, n := range all {
		most = max(most, n)
	}
	f.Logf("requests: %d, highest retry count: %d, bound: %d", len(all), most, retryBound)
	if most > retryBound {
		f.Errorf("highest retry count of a request: got %d, want at most %d", most, retryBound)
	}
	if most == 0 {
		f.Error("highest retry count of a request: got 0, want at least 1, else the test checks nothing")
	}
}

// whileRunning calls each in every period, with a running number, until work returns.
func whileRunning(work func(), period time.Duration, each func(i int)) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		work()
	}()
	tick := time.NewTicker(period)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-tick.C:
			each(i)
		}
	}
}

// retriesWithCutsAndShedding cuts connections and lets servers shed load. Fails if retries need no token.
func retriesWithCutsAndShedding(f *testFleet) {
	entry, middle, deep := f.startChain()
	work := fakes.Behaviour{Work: fakes.Duration(2 * time.Millisecond)}
	for _, m := range slices.Concat(middle, deep) {
		m.backend.SetBehaviour(work)
	}
	f.checkComplete(waitLimit, "before the faults", f.sendBatch("before", 600, 4, entry...)) // builds up the retry budget
	cuts := 0
	var all []response
	whileRunning(func() { all = f.sendBatch("faults", 600, 8, entry...) }, 20*time.Millisecond, func(i int) {
		cuts += slices.Concat(entry, middle)[i%4].conns.applyAndClear(cut)
		for k, m := range slices.Concat(middle, deep) {
			v := work
			v.Shed = (i+k)%3 == 0 || k >= 2 && i%4 == 0
			m.backend.SetBehaviour(v)
		}
	})
	for i, x := range all {
		if x.err != nil || x.mismatched {
			f.Errorf("request %d: got %+v, want its own response or an outcome", i, x)
		}
	}
	f.Logf("connections cut: %d", cuts)
	if cuts == 0 {
		f.Error("connections cut: got 0, want some")
	}
	f.checkRetries()
}

// retriesWithSilentConnections drops the traffic of connections with calls in progress, between both pairs of
// services. Fails if retries need no token.
func retriesWithSilentConnections(f *testFleet) {
	entry, middle, deep := f.startChain()
	for _, m := range deep {
		m.backend.SetBehaviour(fakes.Behaviour{Work: fakes.Duration(20 * time.Millisecond)})
	}
	f.checkComplete(waitLimit, "before the faults", f.sendBatch("before", 600, 8, entry...))
	silent := 0
	var all []response
	whileRunning(func() { all = f.sendBatch("faults", 96, 32, entry...) }, 20*time.Millisecond, func(i int) {
		if i%100 < 4 { // every 2 s, longer than the detection of silent connections takes
			silent += slices.Concat(entry, middle)[i%100].conns.applyAndClear(blackhole)
		}
	})
	for i, x := range all {
		if x.err != nil || x.mismatched {
			f.Errorf("request %d: got %+v, want its own response or an outcome", i, x)
		}
	}
	if silent == 0 {
		f.Error("connections made silent: got 0, want some")
	}
	f.checkRetries()
}

// retriesWhenTheEntryIsFull overloads one entry node, so that it forwards requests to the other one, which spends
// retries on its calls. Fails if the first node still has the whole retry budget afterwards.
func retriesWhenTheEntryIsFull(f *testFleet) {
	entry, middle, deep := f.startChain()
	for _, m := range slices.Concat(entry, middle, deep) {
		m.backend.SetBehaviour(fakes.Behaviour{Work: fakes.Duration(5 * time.Millisecond)})
	}
	f.checkComplete(waitLimit, "before the faults", f.sendBatch("before", 600, 2, entry...))
	for _, m := range deep {
		m.backend.SetBehaviour(fakes.Behaviour{Shed: true})
	}
	f.sendBatch("faults", 400, 64, entry[0])
	f.checkRetries()
}

// retriesWhenTheDeepServiceIsGone makes the middle servers report that no deep server was reached. Fails if the
// entry then takes back all tokens, as if the call to the middle service had spent none.
func retriesWhenTheDeepServiceIsGone(f *testFleet) {
	f.publish("first", 0)
	entry := f.add("entry", "middle", nil)
	for i := range 4 {
		f.add("middle", "deep", nil)
		f.announce(fleet.Member{
			Server: ident.Server(fmt.Sprintf("deep-%d", i)), Service: "deep", DataCentre: "c", Address: f.addresses(1)[0],
			Incarnation: 1, Announced: time.Now(), Slots: 8,
		})
	}
	f.waitReady(1)
	f.waitFor(waitLimit, "all deep servers are known", func() bool {
		for _, m := range f.members {
			if len(m.node.Roster.Table().MembersOf("deep")) != 4 {
				return false
			}
		}
		return true
	})
	f.sendBatch("faults", 40, 1, entry)
	f.checkRetries()
}

// answersLateAndOutOfOrder varies the response times on shared connections. Fails if answers are matched to calls
// by order of arrival.
func answersLateAndOutOfOrder(f *testFleet) {
	entry, middle, deep := f.startChain()
	var all []response
	whileRunning(func() { all = f.sendBatch("late", 400, 32, entry...) }, 3*time.Millisecond, func(i int) {
		for k, m := range slices.Concat(middle, deep) {
			m.backend.SetBehaviour(fakes.Behaviour{Work: fakes.Duration(time.Duration((i+k)*37%120) * time.Millisecond)})
		}
	})
	for i, x := range all {
		if !x.complete() && x.outcome != "notRun" || x.mismatched {
			f.Errorf("request %d: got %+v, want its own complete response", i, x)
		}
	}
	if got := f.reordered.Load(); got == 0 {
		f.Error("answers that overtook an earlier one: got 0, want at least 1, else the test checks nothing")
	}
}

// massStart restarts all nodes at once: each appends one leave and one announcement. Fails if a node announces
// itself twice.
func massStart(f *testFleet) {
	f.publish("first", 0)
	const n = 12
	for range n {
		f.add("entry", "", nil)
	}
	f.waitReady(1)
	before := f.log.Stats().Appends[string(applog.Members)]
	f.stopAll()
	for _, m := range f.members {
		f.start(m)
	}
	f.waitReady(1)
	if got, want := f.log.Stats().Appends[string(applog.Members)]-before, int64(2*n); got != want {
		f.Errorf("appends of leaves and announcements: got %d, want %d", got, want)
	}
}

// Guards against a simultaneous start of 960 nodes, the design size, that exceeds the appends per second of the
// whole fleet, and against a small fleet that waits as long as a large one.
func TestMassStart(t *testing.T) {
	const budget, rounds = 300, 20
	const lag = 500 * time.Millisecond // from an announcement until it is read
	tests := map[string]struct {
		nodes, known, listed int
		within               time.Duration // of the last announcement
	}{
		"members on the log":             {960, 960, 960, maxStartDelay},
		"empty log with an inventory":    {960, 0, 960, maxStartDelay},
		"empty log":                      {960, 0, 0, maxStartDelay},
		"small fleet on an empty log":    {13, 0, 0, 2 * time.Second},
		"small fleet with its inventory": {13, 0, 13, 200 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			most, last := 0, time.Duration(0)
			for range rounds {
				at := simulateStarts(rng, tt.nodes, tt.known, tt.listed, lag)
				last = max(last, slices.Max(at))
				for range tt.nodes {
					at = append(at, time.Duration(rng.Float64()*float64(maxStartDelay))) // the Open record of the refusal stream
				}
				slices.Sort(at)
				for i, j := 0, 0; i < len(at); i++ {
					for j < len(at) && at[j] < at[i]+time.Second {
						j++
					}
					most = max(most, j-i)
				}
			}
			t.Logf("most appends in a second: %d, budget: %d, last announcement after %v", most, budget, last)
			if most > budget {
				t.Errorf("appends in a second: got %d, want at most %d", most, budget)
			}
			if last > tt.within {
				t.Errorf("last announcement: got after %v, want within %v", last, tt.within)
			}
		})
	}
}

// Guards against the loss of a data centre that makes witnesses exceed the appends per second of the whole fleet,
// and against a witness written before its peer could write a leave.
func TestWitnessSpread(t *testing.T) {
	const size, left, lost, budget = 960, 840, 9, 300 // each node was connected to 9 of the 120 lost servers
	rng := rand.New(rand.NewPCG(1, 2))
	seconds := map[int64]int{}
	for range left {
		var schedule witnessSchedule
		mine := map[int64]bool{} // a node appends at most once a second
		for i := range lost {
			at := time.Unix(100, int64(i)*int64(100*time.Millisecond))
			w := schedule.dueAt(at, startDelay(size, rng.Float64()))
			if got := w.Sub(at); got < lostGrace {
				t.Fatalf("witness: got after %v, want at least %v", got, lostGrace)
			}
			mine[w.Unix()] = true
		}
		for s := range mine {
			seconds[s]++
		}
	}
	for s, got := range seconds {
		if got > budget {
			t.Errorf("appends in second %d: got %d, want at most %d", s, got, budget)
		}
	}
	t.Logf("appends by second: %v", seconds)
}

// simulateStarts returns the times of the first announcements of nodes that start at the same time.
func simulateStarts(rng *rand.Rand, nodes, known, listed int, lag time.Duration) (at []time.Duration) {
	const step = 10 * time.Millisecond
	rnds := make([]float64, nodes)
	for i := range rnds {
		rnds[i] = rng.Float64()
	}
	for now := time.Duration(0); len(rnds) > 0; now += step {
		read := 0
		for read < len(at) && at[read]+lag <= now {
			read++
		}
		wait := startDelay(expectedFleetSize(known, listed, known+read, now), 1)
		rnds = slices.DeleteFunc(rnds, func(r float64) bool {
			due := time.Duration(r*float64(wait)) <= now
			if due {
				at = append(at, now)
			}
			return due
		})
	}
	return at
}

// configurationWithoutTheLog publishes while one node cannot reach the log. Fails if peers do not send the accepted
// document.
func configurationWithoutTheLog(f *testFleet) {
	f.publish("first", 0)
	a, b := f.add("entry", "", nil), f.add("entry", "", nil)
	isolated := f.add("entry", "", func(s *setup.Settings) {
		s.Log.Address = f.addresses(1)[0] // nothing listens there
		s.Seeds = []ident.Address{a.settings.Listen.Peers}
	})
	f.waitFor(configTimeLimit, "the first version in force everywhere", func() bool { return f.inForce(1, a, b, isolated) })
	f.publish("second", 1)
	f.waitFor(configTimeLimit, "the second version in force everywhere", func() bool { return f.inForce(2, a, b, isolated) })
	f.log.SetFaults(fakes.LogFaults{Refuse: true})
	late := f.add("entry", "", func(s *setup.Settings) { s.Seeds = []ident.Address{isolated.settings.Listen.Peers} })
	f.waitFor(configTimeLimit, "in force at a node that starts without the log", func() bool { return f.inForce(2, late) })
	f.checkVersionOrder()
}

// configurationWhenTheSeedIsGone stops the only node that an idle node without the log is connected to. Fails if
// the idle node connects to no other node.
func configurationWhenTheSeedIsGone(f *testFleet) {
	f.publish("first", 0)
	a, b := f.add("entry", "", nil), f.add("entry", "", nil)
	isolated := f.add("entry", "", func(s *setup.Settings) {
		s.Log.Address = f.addresses(1)[0] // nothing listens there
		s.Seeds = []ident.Address{a.settings.Listen.Peers}
	})
	f.waitFor(waitLimit, "the isolated node knows the others", func() bool {
		return f.inForce(1, isolated) && isolated.knows(a.settings.Server) && isolated.knows(b.settings.Server)
	})
	f.stop(a)
	f.publish("second", 1)
	f.waitFor(configTimeLimit, "the second version in force everywhere", func() bool { return f.inForce(2, b, isolated) })
	f.checkVersionOrder()
}

// checkVersionOrder checks that no server had a version in force after a higher one.
func (f *testFleet) checkVersionOrder() {
	f.Helper()
	for _, m := range f.members {
		if got := f.versionsOf(m); !slices.IsSorted(got) {
			f.Errorf("versions in force at %s: got %v, want none lower than one before", m.settings.Server, got)
		}
	}
}

// configurationAfterARestart restarts nodes on a log with many versions. Fails if a version comes into force before
// the log was read to its end.
func configurationAfterARestart(f *testFleet) {
	const last = 40 // more than a node buffers while it reads
	for v := range ident.Version(last) {
		f.publish(fmt.Sprint(v), v)
	}
	a, b := f.add("entry", "", nil), f.add("middle", "", nil)
	f.waitFor(configTimeLimit, "in force everywhere", func() bool { return f.inForce(last, a, b) })
	f.stopAll()
	for _, m := range f.members {
		f.start(m)
	}
	f.waitFor(configTimeLimit, "in force everywhere after the restart", func() bool { return f.inForce(last, a, b) })
	f.Logf("versions in force at %s: %v", a.settings.Server, f.versionsOf(a))
	f.checkVersionOrder()
}

// configFromPeerOrCarry starts nodes on a log with a Carry record. Fails if they read the configurations from the
// beginning of the log.
func configFromPeerOrCarry(f *testFleet) {
	const carried, last = 40, 42
	for v := range ident.Version(carried) {
		f.publish(fmt.Sprint(v), v)
	}
	f.write(applog.Config, record.FromOrder(order.Record{Carry: &order.Carry{State: order.State{
		Version: carried, Through: carried - 1, Document: document, Author: "test", ID: ident.RecordID(fmt.Sprint(carried - 1)),
	}}}))
	for v := ident.Version(carried); v < last; v++ {
		f.publish(fmt.Sprint(v), v)
	}
	a := f.add("entry", "", nil)
	f.waitFor(configTimeLimit, "in force behind the carry", func() bool { return f.inForce(last, a) })
	if got, want := a.decisions.Load(), int64(last-carried); got != want {
		f.Errorf("publishes decided behind the carry: got %d, want %d", got, want)
	}
	b := f.add("middle", "", func(s *setup.Settings) { s.Seeds = []ident.Address{a.settings.Listen.Peers} })
	f.waitFor(configTimeLimit, "in force behind the peer", func() bool { return f.inForce(last, b) })
	f.publish("next", last)
	f.waitFor(configTimeLimit, "the next in force", func() bool { return f.inForce(last+1, a, b) })
	f.waitFor(configTimeLimit, "the next decided", func() bool { return b.decisions.Load() > 0 || b.node.Policy.Next() > last+1 })
	if got, most := b.decisions.Load(), int64(1); got > most {
		f.Errorf("publishes decided behind the peer: got %d, want at most %d", got, most)
	}
}

// membersFromPeer checks the start offset of the members stream. Fails if a starting node reads all members, or
// starts after records that the peer has not merged.
func membersFromPeer(f *testFleet) {
	f.publish("first", 0)
	known := []fleet.Member{}
	for i := range 4 * maxFullMemberRead {
		m := syncMember(time.Now(), i%maxFullMemberRead, ident.Incarnation(i))
		m.Address = "127.0.0.1:1"
		f.announce(m)
		known = append(known, m)
	}
	a := f.add("entry", "", nil)
	f.waitFor(waitLimit, "read by the first", func() bool { return a.node.mergedTo.Load() > int64(len(known)) && a.knows(a.settings.Server) })
	all := a.node.mergedTo.Load()
	b := syncNode("b")
	b.Settings = &setup.Settings{Seeds: []ident.Address{"127.0.0.1:1", a.settings.Listen.Peers}}
	b.Log, b.client, b.Transport = zap.NewNop(), a.node.client, &peer.Transport{
		Server: "b", Incarnation: 1, Now: time.Now, OnEvent: func(peer.Event) {}, Dial: a.node.Transport.Dial,
		// The other node may send its own periodic Sync on the connection that b opens.
		OnSync: func(ident.Server, *wirepb.Sync) *wirepb.SyncReply { return nil },
	}
	defer b.Transport.Close()
	if got := int64(b.membersStartOffset(f.Context())); got != all {
		f.Errorf("begin behind a peer: got %d, want %d", got, all)
	}
	if got, want := b.Roster.Table().Digest(), a.node.Roster.Table().Digest(); got != want {
		f.Errorf("members behind a peer: got digest %x, want %x", got, want)
	}
	b.Settings.Seeds = nil
	for i := range peerSearchRecords {
		m := syncMember(time.Now(), i, ident.Incarnation(4*maxFullMemberRead))
		m.Address = a.settings.Listen.Peers
		f.announce(m)
	}
	f.waitFor(waitLimit, "read by the first again", func() bool { return a.node.mergedTo.Load() >= all+peerSearchRecords })
	if got, want := int64(b.membersStartOffset(f.Context())), a.node.mergedTo.Load(); got != want {
		f.Errorf("begin behind a peer that the log names: got %d, want %d", got, want)
	}
	a.node.mergedTo.Store(0) // as in a previous version, or in a starting node
	b.Settings.Seeds = []ident.Address{a.settings.Listen.Peers}
	if got := b.membersStartOffset(f.Context()); got != 0 {
		f.Errorf("begin behind a peer without a place: got %d, want 0", got)
	}
}

// Guards against a start offset that the log does not hold.
func TestCoveredBy(t *testing.T) {
	log := applog.Page{First: 10, Next: 20}
	some := []*wirepb.Member{{Server: "a"}}
	tests := map[string]struct {
		reply *wirepb.SyncReply
		want  bool
	}{
		"at the end":         {&wirepb.SyncReply{Members: some, MembersNext: 20}, true},
		"at the first":       {&wirepb.SyncReply{Members: some, MembersNext: 10}, true},
		"trimmed":            {&wirepb.SyncReply{Members: some, MembersNext: 9}, false},
		"ahead of this log":  {&wirepb.SyncReply{Members: some, MembersNext: 21}, false},
		"no members":         {&wirepb.SyncReply{MembersNext: 20}, false},
		"version before":     {&wirepb.SyncReply{Members: some}, false},
		"below every offset": {&wirepb.SyncReply{Members: some, MembersNext: -1}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := coveredBy(tt.reply, log); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// requestTimeLimit is a third of the time that the slow log takes for an append. 1 s and 3 s failed on a machine with
// three times as many runnable processes as cores: a dial may take 1 s before another server is tried.
const requestTimeLimit = 3 * time.Second

// requestsDuringLogFault sends requests while the log is at fault. Fails if a request waits for an append.
func requestsDuringLogFault(f *testFleet, faults fakes.LogFaults) {
	entry, _, _ := f.startChain()
	// Connections are opened before the fault, and few requests run at a time, because servers that have just
	// started refuse requests above their initial limit.
	f.checkComplete(waitLimit, "before the fault", f.sendBatch("before", 40, 4, entry...))
	f.log.SetFaults(faults)
	f.checkComplete(requestTimeLimit, "with the log at fault", f.sendBatch("faults", 64, 4, entry...))
}

// leaveWithTheLogOut stops a node while the log is down. Fails if peers are not notified of the leave.
func leaveWithTheLogOut(f *testFleet) {
	entry, middle, deep := f.startChain()
	f.checkComplete(waitLimit, "before the leave", f.sendBatch("before", 40, 4, entry...))
	f.log.SetFaults(fakes.LogFaults{Refuse: true})
	gone := deep[0]
	began := time.Now()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		f.stop(gone)
	}()
	f.waitFor(leaveTimeLimit, "the callers know of the leave", func() bool {
		return !middle[0].knows(gone.settings.Server) && !middle[1].knows(gone.settings.Server)
	})
	f.Logf("known to the callers after %v", time.Since(began))
	ran := gone.backend.Stats(false).Ran
	f.checkComplete(waitLimit, "after the leave", f.sendBatch("after", 100, 4, entry...))
	if got := gone.backend.Stats(false).Ran - ran; got != 0 {
		f.Errorf("new work at the server that left: got %d, want 0", got)
	}
	<-stopped
	f.waitFor(leaveTimeLimit, "all know of the leave", func() bool { return !entry[0].knows(gone.settings.Server) && !entry[1].knows(gone.settings.Server) })
}

// startWithTheLogOut starts a node while the log is down. Fails if the fleet learns of a server only from the log.
func startWithTheLogOut(f *testFleet) {
	entry, middle, deep := f.startChain()
	f.checkComplete(waitLimit, "before the start", f.sendBatch("before", 40, 4, entry...))
	f.log.SetFaults(fakes.LogFaults{Refuse: true})
	third := f.add("deep", "", func(s *setup.Settings) { s.Seeds = []ident.Address{entry[0].settings.Listen.Peers} })
	f.waitFor(waitLimit, "the new node has the configuration and the members", func() bool {
		return f.inForce(1, third) && third.knows(entry[1].settings.Server)
	})
	f.waitFor(waitLimit, "the others know the new node", func() bool {
		return middle[0].knows(third.settings.Server) && middle[1].knows(third.settings.Server)
	})
	// A server that has not reported yet is assumed to have one free slot, so requests go to the others while they
	// have more. Once these leave, all requests must go to the new server.
	var stops sync.WaitGroup
	for _, d := range deep {
		stops.Go(func() { f.stop(d) })
	}
	defer stops.Wait()
	f.waitFor(leaveTimeLimit, "the callers know that the old servers left", func() bool {
		return !slices.ContainsFunc(middle, func(m *member) bool { return m.knows(deep[0].settings.Server) || m.knows(deep[1].settings.Server) })
	})
	f.checkComplete(waitLimit, "with the new server", f.sendBatch("new", 60, 4, entry...))
	if got := third.backend.Stats(false).Ran; got == 0 {
		f.Error("work at the new server: got none, want all")
	}
}

// stopBesideStalledReader stops a node whose operator never reads a response. Fails if the stop waits for that.
func stopBesideStalledReader(f *testFleet) {
	m := f.add("entry", "", func(s *setup.Settings) { s.StopTimeout = 3 * time.Second })
	c := probe.DialSlowly(f, string(m.settings.Listen.Operator))
	if _, err := io.WriteString(c, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		f.Fatal(err)
	}
	// A second client gets its response, so the first one's is written.
	if resp, err := http.Get("http://" + string(m.settings.Listen.Operator) + "/metrics"); err != nil {
		f.Error(err)
	} else {
		n, _ := io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if n < 8<<10 {
			f.Errorf("response: got %d bytes, want more than the first client's system takes", n)
		}
	}
	f.stop(m)
}

// stopOfAnEntry stops an entry node with requests in flight. Fails if the stop does not wait for them.
func stopOfAnEntry(f *testFleet) {
	entry, _, deep := f.startChain()
	for _, m := range deep {
		m.backend.SetBehaviour(fakes.Behaviour{Work: fakes.Duration(700 * time.Millisecond)})
	}
	var in []response
	var wg sync.WaitGroup
	const n = 4
	wg.Go(func() { in = f.sendBatch("inFlight", n, n, entry[0]) })
	f.waitFor(waitLimit, "all requests are in flight", func() bool { return entry[0].node.Relay.Inflight() == n })
	wg.Go(func() { f.stop(entry[0]) })
	f.waitFor(leaveTimeLimit, "the node leaves", func() bool { return entry[0].node.Relay.Draining() })
	if x := f.get(entry[0], "/lookups/new"); x.outcome != "notRun" || x.reason != "draining" {
		f.Errorf("new request: got %+v, want notRun for draining", x)
	}
	wg.Wait()
	f.checkComplete(waitLimit, "in flight at the stop", in)
	var ran int64
	for _, m := range deep {
		ran += m.backend.Stats(false).Ran
	}
	if ran != n {
		f.Errorf("requests that ran: got %d, want %d", ran, n)
	}
}

// faultCase is a combination of faults under which the fleet must keep working.
type faultCase struct {
	log    fakes.LogFaults
	onConn func(*fakes.BlackholeConn) // applied to each connection between nodes; may be nil
	flood  bool
}

// inject applies the faults to the log and to the connections that are open now.
func (f *testFleet) inject(x faultCase) {
	f.log.SetFaults(x.log)
	for _, m := range f.members {
		if x.onConn != nil {
			m.conns.applyAndClear(x.onConn)
		}
	}
}

// Guards against a configuration, an announcement or a leave that does not spread during faults of the log or the
// connections or during overload, and against a lower version that comes into force again. The steps run in order
// in one fleet, which includes a node that never reaches the log.
func TestTrouble(t *testing.T) {
	tests := map[string]faultCase{
		"log slow":                       {log: fakes.LogFaults{Slow: fakes.Duration(time.Second)}},
		"log out":                        {log: fakes.LogFaults{Refuse: true}},
		"answers lost":                   {log: fakes.LogFaults{LoseShare: 0.5}},
		"connections cut":                {onConn: cut},
		"connections silent":             {onConn: blackhole},
		"surge":                          {flood: true},
		"surge and log slow":             {flood: true, log: fakes.LogFaults{Slow: fakes.Duration(time.Second)}},
		"connections cut and log out":    {onConn: cut, log: fakes.LogFaults{Refuse: true}},
		"connections cut, answers lost":  {onConn: cut, log: fakes.LogFaults{LoseShare: 0.5}},
		"connections silent, log slow":   {onConn: blackhole, log: fakes.LogFaults{Slow: fakes.Duration(time.Second)}},
		"surge, cut connections, no log": {flood: true, onConn: cut, log: fakes.LogFaults{Refuse: true}},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t)
			entry, middle, deep := f.startChain()
			f.checkComplete(waitLimit, "before", f.sendBatch("before", 40, 4, entry...)) // connects the nodes
			f.add("deep", "", func(s *setup.Settings) {
				s.Log.Address = f.addresses(1)[0] // nothing listens there
				s.Seeds = []ident.Address{entry[0].settings.Listen.Peers}
			})
			f.waitReady(1)
			steps := func() {
				f.publishUnder(x)
				f.carryUnder(x)
				f.startUnder(x, entry[1], middle)
				f.leaveUnder(x, deep[0], entry, middle)
			}
			if x.flood {
				f.runUnderFlood(x, entry, steps)
			} else {
				steps()
			}
			f.checkVersionOrder()
		})
	}
}

// runUnderFlood runs steps while callers of the first entry node overload the entry service: three times as many as its
// servers have slots together. A server without work time would take what the first one cannot. Fails if the gates admit
// all requests.
func (f *testFleet) runUnderFlood(x faultCase, entry []*member, steps func()) {
	f.Helper()
	const slots = 16 // of each entry server, as in document
	for _, m := range entry {
		m.backend.SetBehaviour(fakes.Behaviour{Work: fakes.Duration(100 * time.Millisecond)})
	}
	at := entry[0]
	var complete, refused atomic.Int64
	var wg sync.WaitGroup
	end := make(chan struct{})
	for i := range 3 * slots * len(entry) {
		wg.Go(func() {
			for n := 0; n < 10_000; n++ {
				select {
				case <-end:
					return
				default:
				}
				switch got := f.get(at, fmt.Sprintf("/lookups/flood/%d/%d", i, n)); {
				case got.complete():
					complete.Add(1)
				case got.outcome == "notRun":
					refused.Add(1)
				// A call whose connection is cut while its peer stops cannot be settled.
				case x.onConn != nil && got.outcome == "unknown" && got.reason == "connectionLost":
				default:
					f.Errorf("flood: got %+v, want a complete response or notRun", got)
				}
			}
		})
	}
	defer wg.Wait()
	defer close(end)
	steps()
	f.Logf("flood: %d complete responses, %d refused", complete.Load(), refused.Load())
	if complete.Load() == 0 || refused.Load() == 0 {
		f.Errorf("flood: got %d complete responses and %d refused, want some of both", complete.Load(), refused.Load())
	}
	for _, m := range entry {
		if got, want := m.backend.Stats(false).MaxRunning, int64(slots); got > want {
			f.Errorf("requests at a time at server %s: got %d, want at most its %d slots", m.settings.Server, got, want)
		}
	}
}

// publishUnder publishes a version as an operator does. Fails if the version does not reach idle nodes in time.
func (f *testFleet) publishUnder(x faultCase) {
	f.Helper()
	if x.log.Refuse {
		f.publish("second", 1) // accepted just before the fault
		f.waitFor(configTimeLimit, "the second version at one node", func() bool { return f.inForce(2, f.members[0]) })
		f.inject(x)
	} else {
		f.inject(x)
		if d := f.publishWithRetries("second", 1); d.Verdict != order.Accepted {
			f.Fatalf("publish: got %v, want %v", d.Verdict, order.Accepted)
		}
	}
	began := time.Now()
	f.waitFor(configTimeLimit, "the second version in force everywhere", func() bool { return f.inForce(2, f.members...) })
	f.Logf("in force everywhere after %v", time.Since(began))
}

// publishWithRetries publishes like the command line does, subject to the faults of the log.
func (f *testFleet) publishWithRetries(id ident.RecordID, base ident.Version) (d order.Decision) {
	f.Helper()
	c := &applog.Client{BaseURL: "http://" + string(f.logAddress)}
	w := applog.NewWriter(c, applog.Config)
	ctx, cancel := context.WithTimeout(f.Context(), waitLimit)
	var wg sync.WaitGroup
	wg.Go(func() { w.Run(ctx) })
	defer wg.Wait()
	defer cancel()
	d, err := new(config.History).Publish(ctx, config.Log{
		Read: func(ctx context.Context, from ident.Offset, limit int, wait time.Duration) (applog.Page, error) {
			return c.Read(ctx, applog.Config, from, limit, wait)
		},
		Append: w.Append,
	}, order.Publish{ID: id, Base: base, Document: document, Author: "test"})
	if err != nil {
		f.Fatal(err)
	}
	return d
}

// carryUnder makes a node write the Carry record when it is due, and applies it like a reader of a log that holds
// nothing else. Fails if a failed append counts as written.
func (f *testFleet) carryUnder(x faultCase) {
	f.Helper()
	f.inject(x)
	n, due := f.members[0].node, time.Now().Add(f.members[0].settings.Log.Retention/3)
	if x.log.Refuse {
		if n.carryOnce(f.Context(), due, 0) {
			f.Error("carry without the log: got written")
		}
		f.log.SetFaults(fakes.LogFaults{})
	}
	f.waitFor(configTimeLimit, "the version is carried on", func() bool { return n.carryOnce(f.Context(), due, 0) })
	carries := 0
	for _, raw := range f.log.Records(string(applog.Config)).Records {
		recs, err := record.DecodeGroup(raw.Data)
		if err != nil {
			f.Fatal(err)
		}
		for _, r := range recs {
			o, _ := record.ToOrder(r, time.Unix(0, raw.AtUnixNs))
			if o.Carry == nil {
				continue
			}
			carries++
			var fold order.StateMachine
			fold.Start(ident.Offset(raw.Offset))
			fold.Apply(ident.Offset(raw.Offset), o)
			if got := fold.Current().Version; !fold.Decided() || got != 2 {
				f.Errorf("version that a new reader takes from the carry: got %d, want 2", got)
			}
		}
	}
	if carries != 1 {
		f.Errorf("carries on the log: got %d, want 1", carries)
	}
}

// startUnder starts a server with one seed. Fails if the fleet learns of it only from the log.
func (f *testFleet) startUnder(x faultCase, seed *member, callers []*member) {
	f.Helper()
	f.inject(x)
	third := f.add("deep", "", func(s *setup.Settings) { s.Seeds = []ident.Address{seed.settings.Listen.Peers} })
	f.waitFor(waitLimit, "the new server has the configuration and is known", func() bool {
		return f.inForce(2, third) && callers[0].knows(third.settings.Server) && callers[1].knows(third.settings.Server)
	})
}

// leaveUnder stops a server. Fails if it accepts new requests while it leaves.
func (f *testFleet) leaveUnder(x faultCase, gone *member, entry, callers []*member) {
	f.Helper()
	f.inject(x)
	began := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { f.stop(gone) })
	if !x.log.Refuse {
		f.publish("third", 2)
	}
	f.waitFor(leaveTimeLimit, "the server leaves and has ended what it had", func() bool {
		return gone.node.Relay.Draining() && gone.node.Relay.Inflight() == 0
	})
	ran := gone.backend.Stats(false).Ran
	// With faults of both the connections and the log, the callers learn of the leave from refusals.
	notified := x.onConn == nil || x.log == (fakes.LogFaults{})
	if notified {
		f.waitFor(leaveTimeLimit-time.Since(began), "the callers know of the leave", func() bool {
			return !callers[0].knows(gone.settings.Server) && !callers[1].knows(gone.settings.Server)
		})
	}
	for i, x := range f.sendBatch("after", 60, 4, entry...) {
		if !x.complete() && x.outcome != "notRun" {
			f.Errorf("after the leave, request %d: got %+v, want a complete response or notRun", i, x)
		}
	}
	if notified && !x.flood {
		f.checkComplete(waitLimit, "later", f.sendBatch("later", 60, 4, entry...))
	}
	if got := gone.backend.Stats(false).Ran - ran; got != 0 {
		f.Errorf("new work at the server that left: got %d, want 0", got)
	}
	if !x.log.Refuse {
		f.waitFor(configTimeLimit-time.Since(began), "the version published at the leave is in force everywhere", func() bool {
			return f.inForce(3, slices.DeleteFunc(slices.Clone(f.members), func(m *member) bool { return m == gone })...)
		})
	}
}
