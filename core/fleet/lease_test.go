package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/fleet"
)

func TestHolderMayNotActAfterItsTermHasEnded(t *testing.T) {
	rule := fleet.DefaultLeaseRule()
	sent := time.Unix(1000, 0)
	lease := fleet.NewHeldLease(rule, 5, sent)
	end := sent.Add(rule.Length - rule.Margin)
	assert.Assert(t, lease.IsValid(end.Add(-1)))
	assert.Assert(t, !lease.IsValid(end))
	assert.Assert(t, lease.CanSendOrder(rule, end.Add(-rule.MaxOrderTime-1)))
	assert.Assert(t, !lease.CanSendOrder(rule, end.Add(-rule.MaxOrderTime)))
	assert.Assert(t, !lease.WithEnd().IsValid(sent))
}

func TestRenewalExtendsTheTermFromItsSendTimeUnlessLate(t *testing.T) {
	rule := fleet.DefaultLeaseRule()
	sent := time.Unix(1000, 0)
	lease := fleet.NewHeldLease(rule, 5, sent)
	renewal := sent.Add(rule.Renew)
	renewed := lease.WithRenewal(rule, renewal, rule.Length, renewal.Add(time.Second))
	assert.Equal(t, renewed.Remaining(renewal), rule.Length-rule.Margin)
	late := lease.WithRenewal(rule, renewal, rule.Length, sent.Add(rule.Length))
	assert.Assert(t, !late.IsValid(renewal.Add(rule.Length-rule.Margin-1)))
}
