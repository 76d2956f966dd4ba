package reconcile

import (
	"fmt"
	"math"
	"time"

	"otterstep/internal/fleet/duty"
)

// A version is judged by comparing the answers of its instances with those of the group's other instances in the
// same seconds, since a fault of servers or clients affects both. Each kind of bad answer has a sequential probability
// ratio test (Wald 1945) on which side such an answer comes from: by chance alone, instances that give a tenth of the
// answers give a tenth of the bad ones; a version that is oddsRatio times as bad gives more.
const (
	// falseAlarmRate is the probability that a version that is no worse is reverted, per trial and over all kinds
	// together; missRate is the probability that one that is oddsRatio times as bad passes for lack of evidence.
	falseAlarmRate = 0.001
	missRate       = 0.01
	oddsRatio      = 3.0
	// minExcessShare is the excess in the share of bad answers below which a version is not reverted.
	minExcessShare = 0.02
	// maxBurstWeight is how many bad answers of one observation count as independent: those of one second often
	// have one cause.
	maxBurstWeight = 4
	// minAnswers is the number of answers that a trial needs to pass.
	minAnswers = 100
	// maxTrialLengths times its length is how long a trial waits for minAnswers; after that it passes with fewer.
	maxTrialLengths = 10
)

// Verdict is the outcome of a trial.
type Verdict int

// The verdicts.
const (
	Pending Verdict = iota
	Passed
	Failed
)

// Trial judges one version. The zero value has no observations.
type Trial struct {
	llr      [3]float64 // by kind
	trial    duty.AnswerCounts
	others   duty.AnswerCounts
	began    time.Duration
	observed bool
	failure  string
}

var kindNames = [3]string{"failed", "refused", "late"}

func badCounts(a duty.AnswerCounts) [3]int64 { return [3]int64{a.Failed, a.Refused, a.Late} }

// Observe adds what the version's instances and the others of the group have answered since the last call.
func (t *Trial) Observe(now time.Duration, trial, others duty.AnswerCounts) {
	if !t.observed {
		t.began, t.observed = now, true
	}
	t.trial.Add(trial)
	t.others.Add(others)
	n, m := float64(trial.Total()), float64(others.Total())
	if n == 0 || m == 0 || t.failure != "" {
		return // nothing to compare with, or already failed
	}
	expected := n / (n + m)
	expectedIfWorse := oddsRatio * n / (oddsRatio*n + m)
	a, b := badCounts(trial), badCounts(others)
	trialTotals, othersTotals := badCounts(t.trial), badCounts(t.others)
	for k := range kindNames {
		bad := float64(a[k] + b[k])
		if bad == 0 {
			continue
		}
		weight := min(1, maxBurstWeight/bad)
		t.llr[k] += weight * (float64(a[k])*math.Log(expectedIfWorse/expected) + float64(b[k])*math.Log((1-expectedIfWorse)/(1-expected)))
		// Bounded below: earlier evidence for the version must not offset present evidence against it.
		t.llr[k] = max(t.llr[k], math.Log(missRate/(1-falseAlarmRate)))
		trialShare, othersShare := float64(trialTotals[k])/float64(t.trial.Total()), float64(othersTotals[k])/float64(t.others.Total())
		if t.llr[k] >= math.Log((1-missRate)*float64(len(kindNames))/falseAlarmRate) && trialShare-othersShare >= minExcessShare {
			t.failure = fmt.Sprintf("%.1f%% of its answers are %s, and %.1f%% of the others'", 100*trialShare, kindNames[k], 100*othersShare)
		}
	}
}

// Verdict judges by the observations so far. A version passes once it has been observed for the trial's length with
// enough answers, or where it gets no traffic.
func (t *Trial) Verdict(now, length time.Duration) (Verdict, string) {
	watched := max(0, now-t.began)
	switch {
	case t.failure != "":
		return Failed, t.failure
	case !t.observed || watched < length:
		return Pending, fmt.Sprintf("observed for %v of %v, %d answers", watched.Round(time.Second), length, t.trial.Total())
	case t.trial.Total() < minAnswers && watched < maxTrialLengths*length:
		return Pending, fmt.Sprintf("%d answers of the required %d in %v", t.trial.Total(), minAnswers, watched.Round(time.Second))
	}
	return Passed, fmt.Sprintf("%d answers in %v", t.trial.Total(), watched.Round(time.Second))
}

// HarmSummary describes the damage that a version has done: the bad answers that it gave in excess of the others' share,
// and their share of all answers of the group in that time.
func (t *Trial) HarmSummary() string {
	trialCounts, othersCounts := badCounts(t.trial), badCounts(t.others)
	excess := 0.0
	for k := range kindNames {
		othersShare := 0.0
		if n := t.others.Total(); n > 0 {
			othersShare = float64(othersCounts[k]) / float64(n)
		}
		excess += max(0, float64(trialCounts[k])-othersShare*float64(t.trial.Total()))
	}
	all := t.trial.Total() + t.others.Total()
	return fmt.Sprintf("about %.0f of %d answers harmed, %.2f%%", excess, all, 100*excess/float64(max(1, all)))
}
