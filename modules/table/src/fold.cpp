#include "sycamore/table/fold.h"

#include <cassert>
#include <fmt/format.h>
#include <utility>

namespace sycamore::table {

base::Result<std::vector<FoldedRecord>>
Fold::Apply(const platform::LogPage& aPage)
{
  if (aPage.mNext < mNext) {
    return base::Error{
      base::ErrorKind::LogUnavailable,
      fmt::format("the config stream ends at offset {}, but was read through {}; check the log",
                  aPage.mNext,
                  mNext),
      ""
    };
  }
  if (aPage.mFirst > mNext) {
    StartGap(aPage.mFirst);
  }
  std::vector<FoldedRecord> folded;
  for (const platform::LogRecordData& data : aPage.mRecords) {
    if (data.mOffset < mNext) {
      continue;
    }
    if (data.mOffset > mNext) {
      StartGap(data.mOffset);
    }
    mNext = data.mOffset + 1;
    ApplyRecord(data, folded);
  }
  return folded;
}

void
Fold::StartGap(uint64_t aFirst)
{
  mComplete = false;
  mTail.clear();
  mTailFirst = aFirst;
  mNext = aFirst;
}

void
Fold::ApplyRecord(const platform::LogRecordData& aData, std::vector<FoldedRecord>& aOut)
{
  if (mComplete) {
    aOut.push_back(FoldOne(aData));
    return;
  }
  mTail.push_back(aData);
  TryComplete(aData, aOut);
}

// Continues from aData if it is a snapshot that covers the gap.
void
Fold::TryComplete(const platform::LogRecordData& aData, std::vector<FoldedRecord>& aOut)
{
  auto decoded = DecodeRecord(aData.mData);
  if (!base::IsOk(decoded)) {
    return;
  }
  auto* snapshot = std::get_if<SnapshotRecord>(&std::get<Record>(decoded));
  const bool usable = snapshot != nullptr && snapshot->mThrough >= mTailFirst &&
                      snapshot->mThrough <= aData.mOffset &&
                      snapshot->mTable.mVersion >= mTable.mVersion;
  if (!usable) {
    return;
  }
  mTable = std::move(snapshot->mTable);
  mLastDeletion = snapshot->mLastDeletion;
  mComplete = true;
  const uint64_t through = snapshot->mThrough;
  for (const platform::LogRecordData& data : std::exchange(mTail, {})) {
    if (data.mOffset >= through) {
      aOut.push_back(FoldOne(data));
    }
  }
}

FoldedRecord
Fold::FoldOne(const platform::LogRecordData& aData)
{
  const auto decoded = DecodeRecord(aData.mData);
  if (!base::IsOk(decoded)) {
    return { aData.mOffset, Verdict::Malformed, "" };
  }
  const auto* edit = std::get_if<EditRecord>(&base::ValueOf(decoded));
  if (edit == nullptr) {
    return { aData.mOffset, Verdict::Snapshot, "" };
  }
  return { aData.mOffset, FoldEdit(aData.mOffset, *edit), edit->mId };
}

Verdict
Fold::FoldEdit(uint64_t aOffset, const EditRecord& aRecord)
{
  const Edit& edit = aRecord.mEdit;
  if (!base::IsOk(ValidateEdit(edit))) {
    return Verdict::Invalid;
  }
  // A base version that the editor cannot have read could match a later change by chance.
  if (CurrentVersion(mTable, edit) != edit.mBaseVersion ||
      edit.mBaseVersion > aRecord.mReadThrough) {
    return Verdict::Conflict;
  }
  if (edit.mBaseVersion == 0 && aRecord.mReadThrough < mLastDeletion) {
    return Verdict::Conflict;
  }
  Change(edit, aOffset + 1);
  return Verdict::Accepted;
}

void
Fold::Change(const Edit& aEdit, uint64_t aVersion)
{
  assert(aVersion > mTable.mVersion);
  mTable.mVersion = aVersion;
  if (IsDeletion(aEdit)) {
    mLastDeletion = aVersion;
  }
  if (aEdit.mRow && aEdit.mContract) {
    mTable.mRows[*aEdit.mRow] = { *aEdit.mContract, aVersion };
  } else if (aEdit.mRow) {
    mTable.mRows.erase(*aEdit.mRow);
  } else if (aEdit.mOrder) {
    Order order = *aEdit.mOrder;
    order.mVersion = aVersion;
    mTable.mOrders[*aEdit.mService] = std::move(order);
  } else {
    mTable.mOrders.erase(*aEdit.mService);
  }
}

SnapshotRecord
Fold::Snapshot() const
{
  assert(mComplete);
  return { mNext, mLastDeletion, mTable };
}

}
