// Package unwrapper splits the text of a JSON object or array into the texts of its
// members, without looking into them. A member that another program wrote may be
// nested more deeply than a decoder accepts, or not be valid at all; the members beside
// it can still be read.
package unwrapper
