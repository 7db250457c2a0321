// Package match holds the routes in force and finds the route of a request.
//
// New builds an immutable Table from the routes of one version. A node swaps the pointer to it when a newer
// version comes, and a request keeps the table that it began with. Find returns the route with the longest
// prefix of the path; Route.Pick spreads the requests of a route over its services by weight.
package match
