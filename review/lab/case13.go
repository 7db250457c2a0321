package main

import (
	"net/http"
	"time"
)

// overwrittenLeave adds a machine while the store loses answers: the first write of its entry gets no answer and is done late,
// after its server has deregistered. Then all nodes are killed.
func overwrittenLeave(log *journal, trouble bool) (broken bool, err error) {
	f, err := newFleet(log, "desk", "desk", "desk", "pack", "pack", "pack", "desk")
	if err != nil {
		return false, err
	}
	defer f.close()
	if err = f.start(1, "desk", "pack"); err != nil {
		return false, err
	}
	time.Sleep(trafficDelay)
	l := f.startLoad("/desk/list", 20)
	defer l.cancel()
	time.Sleep(time.Second)

	m := f.spare[0]
	if trouble {
		f.store.lose.Store(&lostWrite{m.name, 5 * time.Second, func() { log.printf("the store does the lost write") }})
		log.printf("the store loses the answer to the next write of %s", m.name)
	}
	if err = f.startMachine(m, "i-51d0"); err != nil {
		return false, err
	}
	f.machines = append(f.machines, m)
	began := time.Now()
	s := m.server
	time.Sleep(2500 * time.Millisecond)
	s.stop()
	late := s.beat("ready")
	log.printf("server %s sends a heartbeat that arrives late", s.instance)
	time.Sleep(500 * time.Millisecond)
	if status := f.tell(s, http.MethodDelete, "", true); status != http.StatusOK {
		log.printf("the leave was not acknowledged")
		return false, nil
	}
	acked := time.Now()
	s.leaving.Store(true)
	time.Sleep(time.Until(began.Add(5300 * time.Millisecond)))
	inTouch := acked
	if trouble {
		if err = f.killAll(); err != nil {
			return false, err
		}
		inTouch = time.Now().Add(contactTime)
	}
	time.Sleep(700 * time.Millisecond)
	log.printf("the heartbeat that server %s sent before it left arrives", s.instance)
	f.tell(s, http.MethodPut, late, true)
	time.Sleep(6 * time.Second)
	l.end()
	broken = f.lateArrivals(s, l, acked, inTouch) > 0
	s.crash()
	log.printf("server %s ends", s.instance)
	return broken, nil
}
