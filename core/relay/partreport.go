package relay

import "time"

// CrashReport is a crash as one instance passes it on to others.
type CrashReport struct {
	Server       uint64
	Age          time.Duration
	HeadReceived bool
	HasWorked    bool
	HadReturned  bool
	OnRetry      bool
}

// ProbeReport is a ProbePlan as one instance passes it on to others.
type ProbeReport struct {
	Failed    int
	Undecided int
	// In is the time until the next probe.
	In time.Duration
}

// PartReport is the record of a part as one instance passes it on to others. Times are given as ages, as clocks
// of instances differ.
type PartReport struct {
	Part    PartID
	Crashes []CrashReport
	// Started is how long ago an answer last began; zero means that none is known.
	Started time.Duration
	// Quarantined is how long ago the part was quarantined; zero means that it is not.
	Quarantined time.Duration
	// EndedQuarantines is that of the record; earlier builds report 0.
	EndedQuarantines int
	SentProbes       int
	// Probed is how long ago the last probe was sent; zero means that its outcome is known.
	Probed         time.Duration
	ProbedTogether bool
	Alone          ProbeReport
	Together       ProbeReport
}

// ReportOf returns the part's record as it is passed on.
func ReportOf(part PartID, r PartRecord, now time.Time) PartReport {
	report := PartReport{
		Part: part, Started: ageOf(r.StartedAt, now), Quarantined: ageOf(r.QuarantinedAt, now),
		EndedQuarantines: r.EndedQuarantines, SentProbes: r.SentProbes, Probed: ageOf(r.ProbedAt, now), ProbedTogether: r.IsProbedTogether,
		Alone: probeReportOf(r.Alone, now), Together: probeReportOf(r.Together, now),
	}
	for _, c := range r.Crashes {
		report.Crashes = append(report.Crashes, CrashReport{
			Server: c.Server, Age: now.Sub(c.At), HeadReceived: c.HeadReceived, HasWorked: c.HasWorked, HadReturned: c.HadReturned, OnRetry: c.OnRetry,
		})
	}
	return report
}

// Record returns the record that the report tells of.
func (p PartReport) Record(now time.Time) PartRecord {
	r := PartRecord{
		StartedAt: timeOf(p.Started, now), QuarantinedAt: timeOf(p.Quarantined, now),
		EndedQuarantines: p.EndedQuarantines, SentProbes: p.SentProbes, ProbedAt: timeOf(p.Probed, now), IsProbedTogether: p.ProbedTogether,
		Alone: p.Alone.plan(now), Together: p.Together.plan(now),
	}
	for _, c := range p.Crashes {
		r.Crashes = append(r.Crashes, Crash{
			Server: c.Server, At: now.Add(-c.Age), HeadReceived: c.HeadReceived, HasWorked: c.HasWorked, HadReturned: c.HadReturned, OnRetry: c.OnRetry,
			IsReported: true,
		})
	}
	return r
}

func probeReportOf(p ProbePlan, now time.Time) ProbeReport {
	return ProbeReport{Failed: p.Failed, Undecided: p.Undecided, In: p.Next.Sub(now)}
}

// plan returns the plan that the report tells of.
func (p ProbeReport) plan(now time.Time) ProbePlan {
	return ProbePlan{Failed: p.Failed, Undecided: p.Undecided, Next: now.Add(p.In)}
}

// ageOf returns the time since t, at least a nanosecond, or zero for the zero time.
func ageOf(t, now time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return max(1, now.Sub(t))
}

func timeOf(age time.Duration, now time.Time) time.Time {
	if age == 0 {
		return time.Time{}
	}
	return now.Add(-age)
}
