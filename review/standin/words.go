package main

import (
	_ "embed"
	"encoding/json"
	"time"
)

// words are the names of the platform that the stand-ins speak. They stand in a file of their own, as Go code outside of the
// platform's folder doesn't hold them.
type words struct {
	// These are headers.
	AttemptID, Signature, Deadline, Model, Tokens, Prompt  string
	ExpectedReplica, ReplicaID, WeightVersions, Confidence string
	// Settings is a variable of the environment, Config a key of the store, and Ready a path.
	Settings, Config, Ready string
	// These are paths of the store's calls.
	StoreKey, StoreRange, StoreWatch, StoreTransaction, StoreLease, StoreKeep, StoreLeaseEnd string
}

//go:embed words.json
var wordsFile []byte

var (
	word      = readWords()
	attemptID = word.AttemptID
	signature = word.Signature
)

func readWords() words {
	var w words
	if err := json.Unmarshal(wordsFile, &w); err != nil {
		panic(err)
	}
	return w
}

// pause waits for the time.
func pause(d time.Duration) {
	<-time.After(d)
}
