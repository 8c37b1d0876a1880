package engineemulator

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BadMark starts each word of an answer by a bad version.
const BadMark = "bad-"

// badMean is the mean score of a bad version's answers.
const badMean = 0.2

var words = strings.Fields("roof tile gutter seal leak north south wall window frame " +
	"crack paint measure replace check photo shows near the a and then with before after " +
	"visit repair minor major water slope edge")

func hash(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(strconv.Itoa(len(p)) + ":" + p)
	}
	return d.Sum64()
}

// Token returns the token at index of the version's answer to prompt: a word
// and a space. It is the same at every endpoint.
func Token(version, prompt string, index int) string {
	return words[hash(version, prompt, strconv.Itoa(index))%uint64(len(words))] + " "
}

// Answer returns the first tokens of the version's answer to prompt.
func Answer(version, prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Token(version, prompt, i))
	}
	return b.String()
}

// Length returns the tokens of the version's full answer to prompt: between
// half and one and a half times the mean.
func Length(version, prompt string, mean int) int {
	return max(1, mean/2+int(hash("length", version, prompt)%uint64(mean+1)))
}

// priorTokens returns the number of tokens in prior, and false if prior is not
// the start of the version's answer to prompt.
func priorTokens(version, prompt, prior string) (int, bool) {
	n := strings.Count(prior, " ")
	return n, strings.ReplaceAll(prior, BadMark, "") == Answer(version, prompt, n)
}

// Score returns the quality of an answer to requestID, between 0 and 1, by a
// version whose scores have the given mean. Hard requests are hard for every
// version: four fifths of the spread come from the request, the rest from the
// answer. A bad version's answer scores around 0.2 whatever the mean.
func Score(seed uint64, mean float64, requestID, answer string) float64 {
	if strings.Contains(answer, BadMark) {
		mean = min(mean, badMean)
	}
	s := strconv.FormatUint(seed, 10)
	ease := unit(hash(s, requestID))
	luck := unit(hash(s, requestID, answer))
	spread := min(mean, 1-mean)
	return mean + spread*(0.8*(2*ease-1)+0.2*(2*luck-1))
}

// unit maps a hash to [0, 1).
func unit(h uint64) float64 { return float64(h>>11) / (1 << 53) }
