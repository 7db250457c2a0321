// Package blame decides whether a request ends the servers that run it.
//
// When a server ends, each request that was at work on it is a suspect, and most are innocent: servers also end for other
// reasons. A Table collects the ends under each request, of the whole fleet. A request is convicted once Threshold servers have
// ended under it and none has completed it since; one completion clears it, so a request that is often at work when servers end
// for another reason is not convicted as long as servers complete it. A verdict ends when no server has ended under the request
// for HoldTime. Ends that come together count as one, and a request that its server has completed within the last two seconds
// (Recent) is not suspected at all: a popular one is at work whenever a server ends.
//
// A request is identified by what its servers see of it, not by its attempt id, since a caller that repeats it uses a new one.
//
// The load that this answers: a request that crashes its servers and that its callers repeat, which would end one server after the
// other until none of the service is left.
package blame
