package directory

// AppendResult is the result of an attempt to store an Update: Applied, Conflicted, NotApplied
// or Undetermined. The four are types, so that no caller can take an attempt without an answer
// for one that has failed: the store may make the change seconds later, and until then the
// former owner of its keys must not act as the owner.
type AppendResult interface{ isAppendResult() }

// Applied is the result of an update that is stored. End is the version that it leads to.
type Applied struct{ End uint64 }

// Conflicted is the result of an update whose base is not the version of the store any more,
// which is End. The attempt was not and will not be applied, but an earlier attempt of the same
// update may be what it conflicts with.
type Conflicted struct{ End uint64 }

// NotApplied is the result of an update that was not and will not be applied.
type NotApplied struct{ Cause error }

// Undetermined is the result of an update that may have been applied, or may be applied later
// if its base is still the version of the store then.
type Undetermined struct{ Cause error }

func (Applied) isAppendResult()      {}
func (Conflicted) isAppendResult()   {}
func (NotApplied) isAppendResult()   {}
func (Undetermined) isAppendResult() {}

// Combine returns the result of an update that was attempted twice, with the results former
// and next. A later attempt that was not applied says nothing about an earlier one.
func Combine(former, next AppendResult) AppendResult {
	if _, failed := next.(NotApplied); failed {
		return former
	}
	return next
}
