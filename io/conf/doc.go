// Package conf reads the environment document and the settings of a process.
//
// The document is YAML or JSON with names in Pascal case. It is checked
// strictly: Parse names every fault by path and line in one error. Nothing that
// differs between environments, such as an address or a key, stands in it.
package conf
