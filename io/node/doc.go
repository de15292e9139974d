// Package node puts one instance together: the control loop, its workers and the faces.
package node
