#include "sycamore/table/edit.h"
#include "sycamore/table/table.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>

namespace sycamore::table {

struct TableFixture
{
  Table mTable;
  Edit mEdit;

  TableFixture()
  {
    mEdit.mRow = RowKey{ "authority", "lahore-a", "inspect-llm" };
    mEdit.mContract = world::Contract{ 1, 10, 1000, 5 };
  }

  void Add(const std::string& aRegion, const std::string& aModel, double aWeight)
  {
    mTable.mRows[{ "authority", aRegion, aModel }] = { { aWeight, 1, 1, 1 }, ++mTable.mVersion };
  }

  double WeightFor(const std::string& aRegion, const std::string& aModel) const
  {
    const Row* row = FindRow(mTable, "authority", aRegion, aModel);
    return row == nullptr ? 0 : row->mContract.mWeight;
  }

  std::string FaultyField() const
  {
    const auto valid = ValidateEdit(mEdit);
    return base::IsOk(valid) ? "" : base::ErrorOf(valid).mField;
  }
};

// Guards against a general row that hides a more specific one.
BOOST_FIXTURE_TEST_CASE(TableFindRowPrefersRegionThenModel, TableFixture)
{
  BOOST_TEST(WeightFor("lahore-a", "inspect-llm") == 0);
  Add("*", "*", 1);
  BOOST_TEST(WeightFor("lahore-a", "inspect-llm") == 1);
  Add("*", "inspect-llm", 2);
  BOOST_TEST(WeightFor("lahore-a", "inspect-llm") == 2);
  Add("lahore-a", "*", 3);
  BOOST_TEST(WeightFor("lahore-a", "inspect-llm") == 3);
  Add("lahore-a", "inspect-llm", 4);
  BOOST_TEST(WeightFor("lahore-a", "inspect-llm") == 4);
  BOOST_TEST(WeightFor("karachi-a", "inspect-llm") == 2);
  BOOST_TEST(WeightFor("karachi-a", "other") == 1);
}

// Guards against accounts that are known by a prefix of their name.
BOOST_FIXTURE_TEST_CASE(TableHasAccountMatchesWholeName, TableFixture)
{
  Add("*", "*", 1);
  BOOST_TEST(HasAccount(mTable, "authority"));
  BOOST_TEST(!HasAccount(mTable, "author"));
  BOOST_TEST(!HasAccount(mTable, "authority-2"));
  BOOST_TEST(!HasAccount(mTable, ""));
}

// Guards against a table that changes on its way to a sidecar.
BOOST_FIXTURE_TEST_CASE(TableToJsonAndBackIsUnchanged, TableFixture)
{
  Add("*", "*", 0.125);
  Add("lahore-a", "inspect-llm", 1e9);
  mTable.mOrders["inspect-llm"] = { "inspect", "urdu", "7", "decode", ++mTable.mVersion };
  BOOST_TEST((base::ValueOf(FromJson(ToJson(mTable))) == mTable));
}

// Guards against an exception for a body that is no table.
BOOST_FIXTURE_TEST_CASE(TableFromJsonOfOtherTextIsMalformed, TableFixture)
{
  for (const char* text : { "", "[]", "{}", R"({"version":-1,"rows":[],"orders":[]})" }) {
    const auto table = FromJson(text);
    BOOST_REQUIRE_MESSAGE(!base::IsOk(table), text);
    BOOST_TEST((base::ErrorOf(table).mKind == base::ErrorKind::MalformedBody));
  }
}

// Guards against limits that stop admission or ordering from working.
BOOST_FIXTURE_TEST_CASE(EditWithFaultyLimitIsInvalid, TableFixture)
{
  BOOST_TEST(FaultyField() == "");
  for (const double value : { 0.0, -1.0, std::nan(""), std::numeric_limits<double>::infinity() }) {
    mEdit.mContract->mWeight = value;
    BOOST_TEST(FaultyField() == "weight");
  }
  mEdit.mContract->mWeight = 1;
  mEdit.mContract->mRequestsPerSecond = -1;
  BOOST_TEST(FaultyField() == "requests_per_s");
  mEdit.mContract->mRequestsPerSecond = 0;
  mEdit.mContract->mTokensPerSecond = std::nan("");
  BOOST_TEST(FaultyField() == "tokens_per_s");
}

// Guards against rows that no call can name.
BOOST_FIXTURE_TEST_CASE(EditWithFaultyNameIsInvalid, TableFixture)
{
  mEdit.mRow->mAccount = "";
  BOOST_TEST(FaultyField() == "account");
  mEdit.mRow->mAccount = "*";
  BOOST_TEST(FaultyField() == "account");
  mEdit.mRow->mAccount = "authority";
  mEdit.mRow->mRegion = "a b";
  BOOST_TEST(FaultyField() == "region");
  mEdit.mRow->mRegion = "*";
  mEdit.mRow->mModel = "";
  BOOST_TEST(FaultyField() == "model");
  mEdit.mRow->mModel = "*";
  BOOST_TEST(FaultyField() == "");
  mEdit.mService = "inspect-llm";
  BOOST_TEST(FaultyField() == "row");
}

// Guards against a deletion without base version, which would delete any version.
BOOST_FIXTURE_TEST_CASE(EditDeletionWithoutBaseVersionIsInvalid, TableFixture)
{
  mEdit.mContract.reset();
  BOOST_TEST(FaultyField() == "base_version");
  mEdit.mBaseVersion = 1;
  BOOST_TEST(FaultyField() == "");
}

}
