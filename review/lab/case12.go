package main

import (
	"net/http"
	"time"
)

// lateRegistration lets a server crash and start again. The first heartbeat of the new run arrives late, after the server has
// deregistered because it is taken away.
func lateRegistration(log *journal, trouble bool) (broken bool, err error) {
	f, err := newFleet(log, "desk", "desk", "desk", "desk", "pack", "pack")
	if err != nil {
		return false, err
	}
	defer f.close()
	if err = f.start(0, "desk", "pack"); err != nil {
		return false, err
	}
	time.Sleep(trafficDelay)
	l := f.startLoad("/desk/list", 20)
	defer l.cancel()
	time.Sleep(2 * time.Second)

	m := f.machines[1]
	s := m.server
	if trouble {
		s.crash()
		log.printf("server %s of %s crashes", s.instance, m.name)
		time.Sleep(1500 * time.Millisecond)
		if s, err = f.startServer(m, "i-9c41", time.Now()); err != nil {
			return false, err
		}
	} else {
		s.stop()
	}
	late := s.beat("ready")
	time.Sleep(time.Second)
	if status := f.tell(s, http.MethodDelete, "", true); status != http.StatusOK {
		log.printf("the leave was not acknowledged")
		return false, nil
	}
	acked := time.Now()
	s.leaving.Store(true)
	time.Sleep(1500 * time.Millisecond)
	log.printf("the heartbeat that server %s sent %.1f s ago arrives", s.instance, 2.5)
	f.tell(s, http.MethodPut, late, true)
	time.Sleep(6 * time.Second)
	l.end()
	broken = f.lateArrivals(s, l, acked, acked) > 0
	s.crash()
	log.printf("server %s ends", s.instance)
	return broken, nil
}
