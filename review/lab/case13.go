package main

import (
	"net/http"
	"time"
)

// clockStep is the most by which the time of day of a machine jumps.
const clockStep = 2000 * time.Millisecond

// ignoredDrain adds a machine. Its server crashes shortly after its start and starts again under its old id. Meanwhile the time of
// day of the machine jumps back, so the second start seems to be before the first one. Much later the server reports that it drains.
func ignoredDrain(log *journal, trouble bool) (broken bool, err error) {
	f, err := newFleet(log, "desk", "desk", "desk", "pack", "pack", "pack", "desk")
	if err != nil {
		return false, err
	}
	defer f.close()
	if err = f.start(1, "desk", "pack"); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	m := f.spare[0]
	f.machines = append(f.machines, m)
	if err = f.writeSettings(m); err != nil {
		return false, err
	}
	if err = f.startNode(m); err != nil {
		return false, err
	}
	time.Sleep(300 * time.Millisecond)
	first, err := f.startServer(m, "i-51d0", time.Now())
	if err != nil {
		return false, err
	}
	first.beatEvery(f)
	time.Sleep(500 * time.Millisecond)
	first.crash()
	log.printf("server %s of %s crashes", first.instance, m.name)
	time.Sleep(500 * time.Millisecond)
	born := time.Now()
	if trouble {
		log.printf("the time of day of %s jumps back by %v", m.name, clockStep)
		born = born.Add(-clockStep)
	}
	s, err := f.startServer(m, first.instance, born)
	if err != nil {
		return false, err
	}
	log.printf("born before: %d, born now: %d", first.born.UnixMilli(), born.UnixMilli())
	s.beatEvery(f)
	time.Sleep(5 * time.Second) // longer than contactMs
	l := f.startLoad("/desk/list", 20)
	defer l.cancel()
	time.Sleep(2 * time.Second)
	s.stop()
	s.leaving.Store(true)
	if status := f.tell(s, http.MethodPut, s.beat("draining"), true); status != http.StatusOK {
		log.printf("the leave was not acknowledged")
		return false, nil
	}
	acked := time.Now()
	for range 4 { // drainMs and a little longer
		time.Sleep(heartbeatInterval)
		f.tell(s, http.MethodPut, s.beat("draining"), true)
	}
	f.tell(s, http.MethodDelete, "", true)
	time.Sleep(time.Second)
	l.end()
	broken = f.lateArrivals(s, l, acked, acked) > 0
	s.crash()
	log.printf("server %s ends", s.instance)
	return broken, nil
}
