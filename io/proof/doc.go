// Package proof runs every fault at every step against a small fleet in memory, and checks what must always hold.
package proof
