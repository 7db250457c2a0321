// Package match holds the active routes and finds the route of a request.
//
// New builds an immutable Table from the routes of one configuration version. A node replaces its pointer to the
// Table when a newer version arrives, and a request keeps the Table that it started with. Find returns the route
// with the longest prefix of the path; Route.Pick distributes the requests of a route over its services by weight.
package match
