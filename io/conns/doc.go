// Package conns pools connections to backend servers between requests. A Pool keeps idle Conns by the
// Key of their server, and never reuses one that the server has closed or sent unsolicited bytes on.
package conns
