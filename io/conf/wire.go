package conf

import "time"

// The wire types are the document's format. The tag "need" marks a required field, "form" names the
// format of its text or of each text in its list, and "range" is its minimum and maximum, or those of
// a list's length. rulesOf reads the tags.

type wireDocument struct {
	Name           string        `need:"true" form:"name"`
	ClientAccounts []wireAccount `need:"true" range:"1..10000"`
	Models         []wireModel   `range:"0..1000"`
	Kinds          []wireKind    `need:"true" range:"1..1000"`
	Pools          []wirePool    `need:"true" range:"1..1000"`
	Services       []wireService `range:"0..1000"`
	RollOuts       []wireRollOut `range:"0..1000"`
	Limits         wireLimits    `need:"true"`
}

type wireAccount struct {
	Name        string   `need:"true" form:"name"`
	Share       int      `need:"true" range:"1..1000000"`
	Versions    []string `form:"version" range:"0..1000"`
	Kinds       []string `need:"true" form:"name" range:"1..1000"`
	MaxInFlight int      `range:"0..1000000"`
}

type wireModel struct {
	Name     string        `need:"true" form:"name"`
	Versions []wireVersion `need:"true" range:"1..100"`
}

type wireVersion struct {
	Name          string        `need:"true" form:"name"`
	InputMicros   int64         `need:"true" range:"0..1000000000"`
	OutputMicros  int64         `need:"true" range:"0..1000000000"`
	Quality       float64       `need:"true" range:"0..1"`
	QualityWeight int           `range:"0..1000000"`
	FirstToken    time.Duration `range:"0s..10m"`
	TokenTime     time.Duration `range:"0s..10s"`
	Pool          string        `need:"true" form:"name"`
	Withdrawn     bool
}

type wireKind struct {
	Name          string  `need:"true" form:"name"`
	Model         string  `form:"name"`
	Service       string  `form:"name"`
	QualityTarget float64 `range:"0..1"`
	Priority      string  `need:"true" form:"priority"`
	Idempotent    bool
	Deadline      time.Duration `need:"true" range:"1ms..24h"`
	MaxTokens     int           `range:"0..1000000"`
	Share         bool
	MaxAttempts   int `range:"0..10"`
	Judge         wireJudge
	RatingFloor   float64 `range:"0..1"`
}

type wireJudge struct {
	CostMicros int64         `need:"true" range:"0..1000000000"`
	Latency    time.Duration `need:"true" range:"0s..1m"`
	AcceptGood float64       `need:"true" range:"0..1"`
	AcceptBad  float64       `need:"true" range:"0..1"`
}

type wirePool struct {
	Name        string        `need:"true" form:"name"`
	MaxInFlight int           `need:"true" range:"1..100000"`
	SlowStart   time.Duration `range:"0s..1h"`
	MinHealthy  float64       `range:"0..1"`
	Fencing     bool
}

type wireService struct {
	Name string `need:"true" form:"name"`
	Pool string `need:"true" form:"name"`
}

type wireRollOut struct {
	Name          string        `need:"true" form:"name"`
	Model         string        `need:"true" form:"name"`
	From          string        `need:"true" form:"name"`
	To            string        `need:"true" form:"name"`
	Stages        []wireStage   `need:"true" range:"1..20"`
	MaxErrorRate  float64       `need:"true" range:"0..1"`
	MinQuality    float64       `need:"true" range:"0..1"`
	SlowAfter     time.Duration `range:"0s..24h"`
	MaxSlowRate   float64       `range:"0..1"`
	CostAbove     int64         `range:"0..1000000000000"`
	MaxCostlyRate float64       `range:"0..1"`
}

type wireStage struct {
	Percent    int           `need:"true" range:"1..100"`
	MinRatings int           `range:"0..1000000"`
	MinTime    time.Duration `range:"0s..720h"`
	MaxTime    time.Duration `range:"0s..720h"`
}

type wireLimits struct {
	QueueLength  int   `need:"true" range:"0..1000000"`
	RetryPercent int   `need:"true" range:"0..100"`
	HedgePercent int   `need:"true" range:"0..100"`
	BodyBytes    int64 `need:"true" range:"1024..67108864"`
}
