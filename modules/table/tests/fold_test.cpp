#include "fake_stream.h"

#include "sycamore/table/fold.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <map>
#include <rapidcheck.h>
#include <set>

namespace sycamore::table {

// Reads aStream to its end, in pages of the sizes of aPages in turn.
static std::vector<FoldedRecord>
ReadAll(Fold& aFold, const FakeStream& aStream, const std::vector<size_t>& aPages)
{
  std::vector<FoldedRecord> all;
  size_t turn = 0;
  for (;;) {
    const size_t size = aPages.empty() ? 1000 : aPages[turn++ % aPages.size()];
    const auto folded = aFold.Apply(aStream.Read(aFold.Next(), size));
    RC_ASSERT(base::IsOk(folded));
    all.insert(all.end(), base::ValueOf(folded).begin(), base::ValueOf(folded).end());
    if (aFold.Next() == aStream.Next()) {
      return all;
    }
  }
}

static Fold
Folded(const FakeStream& aStream)
{
  Fold fold;
  ReadAll(fold, aStream, {});
  return fold;
}

// A stream as several editors and failures produce it. Few keys and base versions that are often
// current, often old, make conflicts likely.
class StreamGenerator
{
public:
  FakeStream Generate()
  {
    const auto steps = *rc::gen::inRange<size_t>(0, 60);
    for (size_t i = 0; i < steps; ++i) {
      Step();
    }
    return mStream;
  }

  // Snapshot offset of each snapshot.
  const std::map<uint64_t, uint64_t>& Snapshots() const { return mSnapshots; }

private:
  void Step()
  {
    switch (*rc::gen::weightedElement<int>({ { 12, 0 }, { 3, 1 }, { 2, 2 }, { 1, 3 } })) {
      case 0:
        AppendEdit();
        break;
      case 1:
        AppendCopy();
        break;
      case 2:
        AppendSnapshot();
        break;
      default:
        mStream.Append("no record");
        break;
    }
  }

  void AppendEdit()
  {
    Edit edit;
    const auto key = *rc::gen::inRange(0, 3);
    if (*rc::gen::inRange(0, 4) == 0) {
      edit.mService = fmt::format("service-{}", key);
    } else {
      edit.mRow = RowKey{ "authority", "*", fmt::format("model-{}", key) };
    }
    const bool deletion = *rc::gen::inRange(0, 3) == 0;
    if (!deletion && edit.mRow) {
      edit.mContract = world::Contract{ *rc::gen::inRange(0, 4) * 0.1, 1, 1, 1 };
    } else if (!deletion) {
      edit.mOrder = Order{ "m", "", fmt::format("{}", mStream.Next()), "", 0 };
    }
    const Fold now = Folded(mStream);
    const auto behind = *rc::gen::inRange<uint64_t>(0, std::min<uint64_t>(mStream.Next(), 3) + 1);
    edit.mBaseVersion = CurrentVersion(now.Current(), edit);
    if (*rc::gen::inRange(0, 4) == 0) {
      // Some are beyond the end of the stream: no editor can have read them.
      edit.mBaseVersion = *rc::gen::inRange<uint64_t>(0, mStream.Next() + 6);
    }
    const EditRecord record{ fmt::format("{:x}", mStream.Next()), mStream.Next() - behind, edit };
    mStream.Append(EncodeRecord(record));
  }

  // A copy of an earlier record that arrives late.
  void AppendCopy()
  {
    if (mStream.Next() > 0) {
      const auto offset = *rc::gen::inRange<uint64_t>(0, mStream.Next());
      const auto page = mStream.Read(offset, 1);
      const auto data = page.mRecords.at(0).mData;
      const auto snapshot = mSnapshots.find(offset);
      if (snapshot != mSnapshots.end()) {
        mSnapshots[mStream.Next()] = snapshot->second;
      }
      mStream.Append(data);
    }
  }

  // A snapshot of the state a few records ago: others append while it is written.
  void AppendSnapshot()
  {
    FakeStream prefix;
    const auto behind = *rc::gen::inRange<uint64_t>(0, std::min<uint64_t>(mStream.Next(), 4) + 1);
    const uint64_t through = mStream.Next() - behind;
    for (const auto& record : mStream.Read(0, through).mRecords) {
      prefix.Append(record.mData);
    }
    mSnapshots[mStream.Next()] = through;
    mStream.Append(EncodeRecord(Folded(prefix).Snapshot()));
  }

  FakeStream mStream;
  std::map<uint64_t, uint64_t> mSnapshots; // Offset of the record to the offset it covers.
};

static std::vector<size_t>
PageSizes()
{
  return *rc::gen::nonEmpty(
    rc::gen::container<std::vector<size_t>>(rc::gen::inRange<size_t>(1, 9)));
}

// Guards against a fold that depends on how the records were read.
BOOST_AUTO_TEST_CASE(FoldByTwoReadersAgrees)
{
  BOOST_TEST(rc::check("two readers of one stream agree", [] {
    const FakeStream stream = StreamGenerator().Generate();
    Fold first;
    Fold second;
    const auto firstVerdicts = ReadAll(first, stream, PageSizes());
    const auto secondVerdicts = ReadAll(second, stream, PageSizes());
    RC_ASSERT(first.Current() == second.Current());
    RC_ASSERT(firstVerdicts == secondVerdicts);
  }));
}

// Guards against a table that goes back to an older version.
BOOST_AUTO_TEST_CASE(FoldVersionNeverDecreases)
{
  BOOST_TEST(rc::check("the version never decreases", [] {
    const FakeStream stream = StreamGenerator().Generate();
    Fold fold;
    uint64_t version = 0;
    while (fold.Next() < stream.Next()) {
      const auto folded = fold.Apply(stream.Read(fold.Next(), 1));
      const bool accepted = base::ValueOf(folded).at(0).mVerdict == Verdict::Accepted;
      RC_ASSERT(accepted == (fold.Current().mVersion > version));
      RC_ASSERT(fold.Current().mVersion >= version);
      version = fold.Current().mVersion;
    }
  }));
}

// Guards against two editors that are both told of success for the same base version.
BOOST_AUTO_TEST_CASE(FoldOfConflictingEditsAcceptsExactlyOne)
{
  BOOST_TEST(rc::check("of several edits with one base version one is accepted", [] {
    FakeStream stream = StreamGenerator().Generate();
    const Fold before = Folded(stream);
    Edit edit;
    edit.mRow = RowKey{ "authority", "*", "model-0" };
    edit.mContract = world::Contract{ 1, 1, 1, 1 };
    edit.mBaseVersion = CurrentVersion(before.Current(), edit);
    std::set<std::string> ids;
    const auto editors = *rc::gen::inRange(1, 5);
    for (int i = 0; i < editors; ++i) {
      const auto id = fmt::format("editor-{}", i);
      edit.mContract->mConcurrency = static_cast<uint32_t>(i);
      ids.insert(id);
      const auto record = EncodeRecord(EditRecord{ id, before.Next(), edit });
      const auto copies = *rc::gen::inRange(1, 3);
      for (int copy = 0; copy < copies; ++copy) {
        stream.Append(record);
      }
    }
    Fold after = before;
    std::vector<std::string> accepted;
    for (const FoldedRecord& record : ReadAll(after, stream, {})) {
      if (record.mVerdict == Verdict::Accepted) {
        accepted.push_back(record.mId);
      }
    }
    RC_ASSERT(accepted.size() == 1U);
    RC_ASSERT(ids.contains(accepted[0]));
  }));
}

// Guards against a late copy of an edit that takes effect again, or for the first time after its
// editor was told of a conflict.
BOOST_AUTO_TEST_CASE(FoldOfCopiesDecidesByFirstCopyAlone)
{
  BOOST_TEST(rc::check("later copies of an edit change nothing", [] {
    const FakeStream stream = StreamGenerator().Generate();
    Fold fold;
    std::set<std::string> seen;
    for (const FoldedRecord& record : ReadAll(fold, stream, {})) {
      if (!record.mId.empty() && !seen.insert(record.mId).second) {
        RC_ASSERT(record.mVerdict != Verdict::Accepted);
      }
    }
  }));
}

// Guards against a refused edit whose late copy finds a version that did not exist before.
BOOST_AUTO_TEST_CASE(FoldOfEditBasedOnLaterVersionIsRefusedForever)
{
  Edit edit;
  edit.mRow = RowKey{ "authority", "*", "*" };
  edit.mContract = world::Contract{ 1, 1, 1, 1 };
  FakeStream stream;
  stream.Append(EncodeRecord(EditRecord{ "first", 0, edit }));
  edit.mBaseVersion = 3;
  const auto early = EncodeRecord(EditRecord{ "early", 1, edit });
  stream.Append(early);
  edit.mBaseVersion = 1;
  stream.Append(EncodeRecord(EditRecord{ "second", 2, edit }));
  stream.Append(early);
  Fold fold;
  const auto folded = base::ValueOf(fold.Apply(stream.Read(0, 10)));
  BOOST_TEST_REQUIRE(folded.size() == 4U);
  BOOST_TEST((folded[2].mVerdict == Verdict::Accepted));
  BOOST_TEST((folded[3].mVerdict == Verdict::Conflict));
  BOOST_TEST(fold.Current().mVersion == 3U);
}

// Guards against edits lost, or invented, when retention drops the start of the stream.
BOOST_AUTO_TEST_CASE(FoldAfterTruncationWithSnapshotIsUnchanged)
{
  BOOST_TEST(rc::check("a covering snapshot replaces the dropped records", [] {
    StreamGenerator generator;
    FakeStream stream = generator.Generate();
    const Fold full = Folded(stream);
    const auto first = *rc::gen::inRange<uint64_t>(0, stream.Next() + 1);
    bool covered = first == 0;
    for (const auto& [offset, through] : generator.Snapshots()) {
      covered = covered || (offset >= first && through >= first);
    }
    stream.Truncate(first);
    Fold late;
    ReadAll(late, stream, PageSizes());
    RC_ASSERT(late.Complete() == covered);
    if (covered) {
      RC_ASSERT(late.Current() == full.Current());
      RC_ASSERT(EncodeRecord(late.Snapshot()) == EncodeRecord(full.Snapshot()));
    } else {
      RC_ASSERT(late.Current() == Table());
    }
  }));
}

// Guards against a reader that misses records and then publishes a mixed or older table.
BOOST_AUTO_TEST_CASE(FoldAfterGapKeepsTableUntilCovered)
{
  BOOST_TEST(rc::check("a reader with a gap agrees once a snapshot covers it", [] {
    StreamGenerator generator;
    FakeStream stream = generator.Generate();
    const Fold full = Folded(stream);
    const auto read = *rc::gen::inRange<uint64_t>(0, stream.Next() + 1);
    Fold late;
    RC_ASSERT(base::IsOk(late.Apply(stream.Read(0, read))));
    const Table before = late.Current();
    stream.Truncate(*rc::gen::inRange<uint64_t>(read, stream.Next() + 1));
    ReadAll(late, stream, PageSizes());
    RC_ASSERT(late.Current() == (late.Complete() ? full.Current() : before));
  }));
}

// Guards against a stream that was replaced by an older one and is then followed.
BOOST_AUTO_TEST_CASE(FoldOfStreamThatWentBackIsRefused)
{
  FakeStream stream;
  stream.Append("a");
  stream.Append("b");
  Fold fold = Folded(stream);
  FakeStream older;
  older.Append("a");
  const auto folded = fold.Apply(older.Read(fold.Next(), 10));
  BOOST_REQUIRE(!base::IsOk(folded));
  BOOST_TEST((base::ErrorOf(folded).mKind == base::ErrorKind::LogUnavailable));
  BOOST_TEST(fold.Next() == 2U);
}

// Guards against numbers that differ between a reader of the edit and a reader of a snapshot.
BOOST_AUTO_TEST_CASE(RecordLimitsSurviveEncoding)
{
  BOOST_TEST(rc::check("limits in thousandths survive any number of encodings", [] {
    Edit edit;
    edit.mRow = RowKey{ "authority", "*", "*" };
    edit.mContract =
      world::Contract{ static_cast<double>(*rc::gen::inRange<int64_t>(1, 1000000000000)) / 1000,
                       static_cast<double>(*rc::gen::inRange<int64_t>(0, 1000000000000)) / 7000,
                       static_cast<double>(*rc::gen::inRange<int64_t>(0, 1000000000000)) / 1000,
                       *rc::gen::arbitrary<uint32_t>() };
    const auto once = base::TakeValue(DecodeRecord(EncodeRecord(EditRecord{ "1", 0, edit })));
    const auto twice = base::TakeValue(DecodeRecord(EncodeRecord(once)));
    RC_ASSERT(std::get<EditRecord>(once).mEdit == std::get<EditRecord>(twice).mEdit);
    RC_ASSERT(std::get<EditRecord>(once).mEdit.mContract->mWeight == edit.mContract->mWeight);
  }));
}

}
