package main

import (
	"net/http"
	"time"
)

// clockStep is the most by which the time of day of a machine jumps.
const clockStep = 2000 * time.Millisecond

// ignoredDrain lets a server crash twice. Between its two starts, under one instance id, the time of day of its machine jumps
// back, so the second start seems to be before the first one. Much later the server reports that it drains.
func ignoredDrain(log *journal, trouble bool) (broken bool, err error) {
	f, err := newFleet(log, "desk", "desk", "desk", "desk", "pack", "pack")
	if err != nil {
		return false, err
	}
	defer f.close()
	if err = f.start(0, "desk", "pack"); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // longer than contactMs
	l := f.startLoad("/desk/list", 20)
	defer l.cancel()
	time.Sleep(time.Second)

	m := f.machines[1]
	m.server.crash()
	log.printf("server %s of %s crashes", m.server.instance, m.name)
	time.Sleep(500 * time.Millisecond)
	s, err := f.startServer(m, "i-9c41", time.Now())
	if err != nil {
		return false, err
	}
	s.beatEvery(f)
	time.Sleep(700 * time.Millisecond)
	s.crash()
	log.printf("server %s of %s crashes", s.instance, m.name)
	born := time.Now().Add(500 * time.Millisecond)
	if trouble {
		log.printf("the time of day of %s jumps back by %v", m.name, clockStep)
		born = born.Add(-clockStep)
	}
	time.Sleep(500 * time.Millisecond)
	if s, err = f.startServer(m, "i-9c41", born); err != nil {
		return false, err
	}
	s.beatEvery(f)
	time.Sleep(5 * time.Second)
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
