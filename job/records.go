package job

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/cicadasill/cicadasill/changelog"
)

// maxRecordBytes limits the size of the items or results in one record. It leaves room for the encoding:
// the lowest record size limit of the platform's stores is 256 KiB.
const maxRecordBytes = 160 << 10

// maxItemRecordBytes limits the encoded size of an items record, which a single large item may fill.
const maxItemRecordBytes = 255 << 10

// itemSize estimates the encoded size of an item.
func itemSize(i *Item) int {
	if i.stored != nil {
		return len(i.stored)
	}
	n := len(i.ID) + len(i.Path) + len(i.Body) + len(i.Group) + len(i.Model) + 32
	for k, v := range i.Headers {
		n += len(k) + len(v) + 4
	}
	if r := i.Reward; r != nil {
		n += len(r.ID) + len(r.Host) + len(r.Path) + len(r.Body) + 16
	}
	return n
}

// itemRecords returns the records that store the items of a job. It returns *TooLargeError if an item
// does not fit into a record.
func itemRecords(id ID, items []Item) ([]changelog.Record, error) {
	var records []changelog.Record
	for len(items) > 0 {
		n, size := 0, 0
		for n < len(items) && (n == 0 || size+itemSize(&items[n]) <= maxRecordBytes) {
			size += itemSize(&items[n])
			n++
		}
		data, err := encodeItems(items[:n])
		if err != nil {
			return nil, err
		}
		if len(data) > maxItemRecordBytes {
			return nil, &TooLargeError{Item: items[0].ID, Bytes: len(data)}
		}
		key := fmt.Sprintf("%s%s/%06d", itemsPrefix, id, len(records))
		records = append(records, changelog.Record{Key: key, Value: data})
		items = items[n:]
	}
	return records, nil
}

// encodeItems encodes the value of an items record.
func encodeItems(items []Item) ([]byte, error) {
	stored := make([]storedItem, len(items))
	for n := range items {
		if stored[n] = items[n].stored; stored[n] != nil {
			continue
		}
		var err error
		if stored[n], err = cbor.Marshal(&items[n]); err != nil {
			return nil, err
		}
	}
	return cbor.Marshal(stored)
}

// resultRecords returns the records that list results at consecutive positions from position on.
func resultRecords(id ID, position int, results []Result) ([]changelog.Record, error) {
	var records []changelog.Record
	for len(results) > 0 {
		n, size := 0, 0
		for n < len(results) && (n == 0 || size+len(results[n].Output) <= maxRecordBytes) {
			size += len(results[n].Output)
			n++
		}
		data, err := cbor.Marshal(resultsRecord{Position: position, Results: results[:n]})
		if err != nil {
			return nil, err
		}
		key := fmt.Sprintf("%s%s/%06d", resultsPrefix, id, position)
		records = append(records, changelog.Record{Key: key, Value: data})
		results = results[n:]
		position += n
	}
	return records, nil
}
