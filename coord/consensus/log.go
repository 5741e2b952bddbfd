package consensus

import "slices"

// entryLog is the in-memory part of the log: the entries after baseIndex. Returned slices of entries stay valid,
// because entries are never overwritten in place.
type entryLog struct {
	baseIndex uint64 // index before the first entry
	baseTerm  uint64 // term of the entry at baseIndex
	entries   []Entry
}

// firstIndex returns the index of the first entry, or of the next one to be appended if the log is empty.
func (l *entryLog) firstIndex() uint64 { return l.baseIndex + 1 }

// lastIndex returns the index of the last entry, or baseIndex if the log is empty.
func (l *entryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

// lastTerm returns the term of the last entry, or baseTerm if the log is empty.
func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, or false if it is neither in the log nor at baseIndex.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// matches reports whether the entry at index is known and has the given term.
func (l *entryLog) matches(index, term uint64) bool {
	entryTerm, present := l.term(index)
	return present && entryTerm == term
}

// slice returns the entries from first to last, inclusive. They must be in the log.
func (l *entryLog) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	from, to := first-l.baseIndex-1, last-l.baseIndex
	return l.entries[from:to:to]
}

// limitedSlice returns the entries from first on whose total size is at most maxBytes, and at least one entry
// unless first is beyond the end of the log.
func (l *entryLog) limitedSlice(first uint64, maxBytes int) []Entry {
	last, size := first, 0
	for ; last <= l.lastIndex(); last++ {
		size += entrySize(&l.entries[last-l.baseIndex-1])
		if size > maxBytes && last > first {
			break
		}
	}
	return l.slice(first, last-1)
}

// append appends entries. The first one must follow the last entry of the log.
func (l *entryLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// truncate drops the entries from index on. It copies the remaining ones, because writes and messages in
// progress may still refer to the dropped ones.
func (l *entryLog) truncate(index uint64) {
	l.entries = slices.Clone(l.entries[:index-l.baseIndex-1])
}

// compact drops the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	term, _ := l.term(index)
	l.entries = slices.Clone(l.entries[index-l.baseIndex:])
	l.baseIndex, l.baseTerm = index, term
}

// findConflictByTerm returns the highest index up to limit whose entry has at most the given term, and the term
// of that entry. If the log has no such entry, it returns baseIndex and baseTerm.
func (l *entryLog) findConflictByTerm(limit, term uint64) (index, foundTerm uint64) {
	index = min(limit, l.lastIndex())
	for index > l.baseIndex {
		entryTerm, _ := l.term(index)
		if entryTerm <= term {
			return index, entryTerm
		}
		index--
	}
	return l.baseIndex, l.baseTerm
}

// entryOverheadBytes is the estimated size of an entry in a message, without its data and members.
const entryOverheadBytes = 24

// memberOverheadBytes is the estimated size of a member in a message.
const memberOverheadBytes = 40

// entriesSize returns the estimated size of entries in a message, in bytes.
func entriesSize(entries []Entry) (sum int) {
	for i := range entries {
		sum += entrySize(&entries[i])
	}
	return sum
}

// entrySize returns the estimated size of an entry in a message, in bytes.
func entrySize(entry *Entry) int {
	return entryOverheadBytes + len(entry.Data) + memberOverheadBytes*len(entry.Members)
}
