// Package cold decides which backend servers are cold and how many requests they get meanwhile.
//
// A View combines what an instance knows at one time: the servers' entries, what servers have stated in answers, losses of
// servers and the reopening of failure domains. View.PeriodOf says whether a server is cold and from which source.
// View.ClaimFor says what to ask the keepers of a server that is cold or has stated a limit; keepers are the instances that
// grant the requests to it. Limits divides the bound on the requests that a cold server may receive in any second among them.
package cold
