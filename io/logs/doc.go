// Package logs writes one JSON line for each decision and keeps the latest ones for explain.
package logs
