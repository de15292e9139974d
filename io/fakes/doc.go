// Package fakes holds small stand-ins for backend servers and the platform's services, for demos and tests.
package fakes
