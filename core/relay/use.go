package relay

// AccountUse is what the requests of one client account use, in weighted tokens a second.
type AccountUse struct {
	Account AccountName
	// Offered is the rate of all recent requests, Admitted that of those that were not refused, and Usual the rate of
	// the admitted ones over minutes.
	Offered  float64
	Admitted float64
	Usual    float64
}

// With returns the use with another one added.
func (u AccountUse) With(other AccountUse) AccountUse {
	u.Offered += other.Offered
	u.Admitted += other.Admitted
	u.Usual += other.Usual
	return u
}

// UseReport is what client accounts use, as one instance passes it on to others.
type UseReport struct {
	// From is the instance whose own requests are reported; it is empty in a sum over several instances.
	From MemberName
	// Instances is the number of instances in the sum.
	Instances int
	// Accounts lists the accounts that use most.
	Accounts []AccountUse
}
