// Package place holds the queries that say where a request may run: which failure domains are evacuated, and which ones a
// request may reach.
//
// A Filter is made once for each selection of a server and is asked for each server. While no failure domain is evacuated
// and nothing restricts the request, it compares no names.
package place
