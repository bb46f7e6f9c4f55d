package job

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/cicadasill/cicadasill/changelog"
)

// Sizes of records.
//
// The store takes no record and no call above its limits, whatever they hold: the same records are refused each time. All writers
// therefore bound the encoded size, with keys and framing. An entry that fits into no record by itself fails alone.

const (
	// positionKeyBytes bounds the length of "/" and a position, or the number of a chunk, in a key.
	positionKeyBytes = len("/0123456789")
	// maxRecordBytes limits the size of the items or results that share a record, so that a reader of one of them reads few others.
	maxRecordBytes = 160 << 10
	// cborHeadBytes is the size of the largest head of a CBOR value: its kind and a length of 8 bytes.
	cborHeadBytes = 9
	// resultsHeadBytes bounds a results record without its key and its results: a map of two fields and the head of the list.
	resultsHeadBytes = 1 + 2*(1+cborHeadBytes)
	// recordOverheadBytes bounds what the store's format and the key add to a record in a call.
	recordOverheadBytes = 4 + 1 + changelog.MaxKeyBytes
)

// maxJobIDBytes is the longest id of a job whose records have keys that fit.
const maxJobIDBytes = changelog.MaxKeyBytes - len(itemsPrefix) - positionKeyBytes

// maxItemBytes limits the encoded size of an item. Its result, also if it has no output, then fits into a record: what an errored
// result holds besides the item's id is less than the margin.
func maxItemBytes(limits changelog.Limits) int { return limits.RecordBytes - 1<<10 }

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
func itemRecords(id ID, items []Item, limits changelog.Limits) ([]changelog.Record, error) {
	var records []changelog.Record
	shared := min(maxRecordBytes, maxItemBytes(limits)-cborHeadBytes)
	for len(items) > 0 {
		n, size := 0, 0
		for n < len(items) && (n == 0 || size+itemSize(&items[n]) <= shared) {
			size += itemSize(&items[n])
			n++
		}
		data, err := encodeItems(items[:n])
		if err != nil {
			return nil, err
		}
		if len(data) > maxItemBytes(limits) {
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

// encodedResults is a resultsRecord whose results are encoded. The two have the same encoding.
type encodedResults struct {
	Position int               `cbor:"1,keyasint"`
	Results  []cbor.RawMessage `cbor:"2,keyasint"`
}

// resultRecords returns the records that list results at consecutive positions from position on. A result that fits into no record is
// listed as errored, and its item is in tooLarge.
func resultRecords(id ID, position int, results []Result, limits changelog.Limits) (records []changelog.Record, tooLarge []string, err error) {
	var record encodedResults
	size := 0
	flush := func() error {
		if len(record.Results) == 0 {
			return nil
		}
		data, err := cbor.Marshal(&record)
		if err != nil {
			return err
		}
		records = append(records, changelog.Record{Key: resultsKey(id, record.Position), Value: data})
		return nil
	}
	for n := range results {
		at := position + n
		most := limits.ValueBytes(resultsKey(id, at)) - resultsHeadBytes
		data, err := cbor.Marshal(&results[n])
		if err == nil && len(data) > most {
			tooLarge = append(tooLarge, results[n].Item)
			data, err = cbor.Marshal(&Result{Item: results[n].Item, State: Errored})
		}
		if err != nil {
			return nil, nil, err
		}
		if len(record.Results) == 0 || size+len(data) > min(maxRecordBytes, most) {
			if err := flush(); err != nil {
				return nil, nil, err
			}
			record, size = encodedResults{Position: at}, 0
		}
		record.Results = append(record.Results, data)
		size += len(data)
	}
	return records, tooLarge, flush()
}

func resultsKey(id ID, position int) string {
	return fmt.Sprintf("%s%s/%06d", resultsPrefix, id, position)
}

// outputMargin is the room in a result for its versions and its score.
const outputMargin = 1 << 10

// maxOutputBytes returns the size of the largest output of an item that its result can hold.
func maxOutputBytes(limits changelog.Limits, id ID, item string) int {
	empty := Result{Item: item}
	return limits.ValueBytes(resultsKey(id, 0)) - resultsHeadBytes - empty.encodedSize() - outputMargin
}

// encodedSize bounds the encoded size of a result.
func (r *Result) encodedSize() int {
	const fields = 5
	return cborHeadBytes*(1+2*fields+len(r.Versions)) + len(r.Item) + len(r.Output) + len(r.Score)
}

// encodedSize bounds the size of a checkpoint's record in a call.
func (c *Checkpoint) encodedSize() int {
	const fields = 6
	return recordOverheadBytes + cborHeadBytes*(1+2*fields+len(c.Data)+len(c.Versions)) + c.size() + len(c.Service) + len(c.Software)
}
