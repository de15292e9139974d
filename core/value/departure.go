package value

import "time"

// Departure is what is known of a backend server that the platform's list has shown as leaving; the zero value is one that it
// shows as leaving at present.
type Departure struct {
	// LiveSince is when the list first showed the server as live again.
	LiveSince time.Time
	// GoneSince is when the list first lacked the server.
	GoneSince time.Time
}

// WithLive returns a departure of a server that the list shows as live at the time.
func (d Departure) WithLive(at time.Time) Departure {
	if d.LiveSince.IsZero() || !d.GoneSince.IsZero() {
		return Departure{LiveSince: at}
	}
	return d
}

// WithGone returns a departure of a server that the list lacks at the time.
func (d Departure) WithGone(at time.Time) Departure {
	if d.GoneSince.IsZero() {
		return Departure{GoneSince: at}
	}
	return d
}
