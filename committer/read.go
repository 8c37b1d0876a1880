package committer

// DecodeRecords decodes a stored segment and returns the values of its records by
// key. It serves readers of a shard that have no Committer. The error states that
// the segment is malformed.
func DecodeRecords(segment []byte) (map[string][]byte, error) {
	s, err := decodeSegment(segment)
	if err != nil {
		return nil, err
	}
	values := make(map[string][]byte, len(s.Records))
	for k, r := range s.Records {
		values[k] = r.Value
	}
	return values, nil
}
