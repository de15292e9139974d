package main

import "syscall"

// diesWithParent makes a process end with the one that starts it, should that be killed.
func diesWithParent() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
