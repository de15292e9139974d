// Package logs writes log lines in JSON, among them one for each decision about a request.
//
// New returns a zap.Logger of such lines; its output may be an AsyncWriter, which writes in the
// background and drops lines rather than block. Recorder logs routing decisions and stores the
// latest of them, from which the explain command reads. RelayRecorder logs the decisions about
// relayed requests.
package logs
