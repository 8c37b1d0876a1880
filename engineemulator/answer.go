package engineemulator

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BadTokenPrefix is the prefix of every token of Faults.BadVersion. Score detects a
// bad answer by it.
const BadTokenPrefix = "bad-"

// badMeanScore bounds the mean score of answers that contain BadTokenPrefix.
const badMeanScore = 0.2

var vocabulary = strings.Fields("roof tile gutter seal leak north south wall window frame " +
	"crack paint measure replace check photo shows near the a and then with before after " +
	"visit repair minor major water slope edge")

// hash returns a hash of parts. The length before each part keeps the
// boundaries between parts distinct.
func hash(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(strconv.Itoa(len(p)) + ":" + p)
	}
	return d.Sum64()
}

// Token returns the token at index, from 0, of the version's answer to prompt: a
// word followed by a space. It depends on nothing else, so that every endpoint
// gives the same answer.
func Token(version, prompt string, index int) string {
	return vocabulary[hash(version, prompt, strconv.Itoa(index))%uint64(len(vocabulary))] + " "
}

// Answer returns the text of the first tokens of the version's answer to prompt.
func Answer(version, prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Token(version, prompt, i))
	}
	return b.String()
}

// Length returns the number of tokens of the version's full answer to prompt,
// between 0.5 and 1.5 times mean.
func Length(version, prompt string, mean int) int {
	return max(1, mean/2+int(hash("length", version, prompt)%uint64(mean+1)))
}

// priorTokens returns the number of tokens in prior and whether prior is a
// prefix of the version's answer to prompt.
func priorTokens(version, prompt, prior string) (int, bool) {
	n := strings.Count(prior, " ")
	return n, strings.ReplaceAll(prior, BadTokenPrefix, "") == Answer(version, prompt, n)
}

// Score returns the quality, between 0 and 1, of an answer to requestID by a
// version whose scores have the given mean. 80 % of the spread depends on the
// request alone, so that a difficult request is difficult for every version; the
// rest depends on the answer. The mean of answers that contain BadTokenPrefix is
// at most 0.2.
func Score(seed uint64, mean float64, requestID, answer string) float64 {
	if strings.Contains(answer, BadTokenPrefix) {
		mean = min(mean, badMeanScore)
	}
	s := strconv.FormatUint(seed, 10)
	ease := unitInterval(hash(s, requestID))
	variation := unitInterval(hash(s, requestID, answer))
	spread := min(mean, 1-mean)
	return mean + spread*(0.8*(2*ease-1)+0.2*(2*variation-1))
}

// unitInterval maps a hash uniformly to [0, 1).
func unitInterval(h uint64) float64 { return float64(h>>11) / (1 << 53) }
