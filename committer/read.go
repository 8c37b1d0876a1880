package committer

// Records returns the values of the records in a stored segment by key, to read
// a shard without a committer.
// The error tells that the segment is malformed.
func Records(segment []byte) (map[string][]byte, error) {
	d, err := decodeDocument(segment)
	if err != nil {
		return nil, err
	}
	values := make(map[string][]byte, len(d.Records))
	for k, r := range d.Records {
		values[k] = r.Value
	}
	return values, nil
}
