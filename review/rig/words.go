package main

import (
	_ "embed"
	"encoding/json"
	"time"
)

// wordList holds the platform's names of headers, store keys and calls.
type wordList struct {
	AttemptID, Deadline, ExpectedServer, ServerID, NotRun, Signature, Model, Tokens, Prompt  string
	Settings, Ready, Config                                                                  string
	StoreKey, StoreRange, StoreWatch, StoreTransaction, StoreLease, StoreKeep, StoreLeaseEnd string
}

//go:embed words.json
var wordsFile []byte

var words = readWords()

func readWords() wordList {
	var list wordList
	if err := json.Unmarshal(wordsFile, &list); err != nil {
		panic(err)
	}
	return list
}

// wait waits for the time.
func wait(d time.Duration) {
	<-time.After(d)
}
