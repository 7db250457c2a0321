package main

import (
	"net/http"
	"sync"
	"time"
)

// forgottenLeave lets a server deregister while the store is down, and then kills all nodes. A heartbeat that the server sent
// before it deregistered arrives after they have started again.
func forgottenLeave(log *journal, trouble bool) (broken bool, err error) {
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
		f.store.setDown(true)
		log.printf("the store is down")
	}
	time.Sleep(200 * time.Millisecond)
	s.stop()
	late := s.beat("ready")
	log.printf("server %s sends a heartbeat that arrives late", s.instance)
	time.Sleep(300 * time.Millisecond)
	if status := f.tell(s, http.MethodDelete, "", true); status != http.StatusOK {
		log.printf("the leave was not acknowledged")
		return false, nil
	}
	acked := time.Now()
	s.leaving.Store(true)
	time.Sleep(300 * time.Millisecond)
	inTouch := acked
	if trouble {
		if err = f.killAll(); err != nil {
			return false, err
		}
		time.Sleep(500 * time.Millisecond)
		f.store.setDown(false)
		log.printf("the store is back")
		inTouch = time.Now().Add(contactTime)
	}
	time.Sleep(time.Second)
	log.printf("the heartbeat that server %s sent before it left arrives", s.instance)
	f.tell(s, http.MethodPut, late, true)
	time.Sleep(6 * time.Second)
	l.end()
	broken = f.lateArrivals(s, l, acked, inTouch) > 0
	s.crash()
	log.printf("server %s ends", s.instance)
	return broken, nil
}

// contactTime is contactMs of the small deployments.
const contactTime = 3 * time.Second

// killAll kills all nodes at once and starts them again half a second later.
func (f *fleet) killAll() error {
	var wg sync.WaitGroup
	for _, m := range f.machines {
		wg.Go(m.killNode)
	}
	wg.Wait()
	f.log.printf("all nodes are killed")
	time.Sleep(500 * time.Millisecond)
	for _, m := range f.machines {
		if err := f.startNode(m); err != nil {
			return err
		}
	}
	f.log.printf("all nodes are started again")
	return nil
}
