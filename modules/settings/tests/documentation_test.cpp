#include "sycamore/settings/parse.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

namespace sycamore::settings {

// The keys in the tables of docs/settings.md, e.g. "links/from".
struct SettingsDocumentationFixture
{
  std::set<std::string> mKeys;

  SettingsDocumentationFixture()
  {
    std::ifstream file(SYCAMORE_SETTINGS_DOC);
    BOOST_REQUIRE(file);
    for (std::string line; std::getline(file, line);) {
      if (line.starts_with("| `")) {
        AddKeys(line.substr(0, line.find('|', 1)));
      }
    }
  }

  // Each text between two backquotes is a key.
  void AddKeys(const std::string& aCell)
  {
    size_t begin = aCell.find('`');
    while (begin != std::string::npos) {
      const size_t end = aCell.find('`', begin + 1);
      BOOST_REQUIRE(end != std::string::npos);
      mKeys.insert(aCell.substr(begin + 1, end - begin - 1));
      begin = aCell.find('`', end + 1);
    }
  }

  // Whether Parse knows the key at the path of a fault; a known key with the value {} is faulty in
  // another way.
  static bool IsKnown(const std::string& aKey)
  {
    const size_t slash = aKey.find('/');
    boost::json::object object;
    if (slash == std::string::npos) {
      object.emplace(aKey, boost::json::object());
    } else {
      boost::json::object element{ { aKey.substr(slash + 1), boost::json::object() } };
      object.emplace(aKey.substr(0, slash), boost::json::array{ std::move(element) });
    }
    const auto parsed = Parse(boost::json::serialize(object));
    for (const base::Error& fault : std::get<1>(parsed)) {
      if (fault.mMessage.find("not a known key") != std::string::npos) {
        return false;
      }
    }
    return true;
  }
};

// Guards against documented keys that do not exist.
BOOST_FIXTURE_TEST_CASE(SettingsDocumentedKeysAreKnown, SettingsDocumentationFixture)
{
  BOOST_TEST(mKeys.size() > 30U);
  BOOST_TEST(!IsKnown("no_such_key"));
  for (const std::string& key : mKeys) {
    BOOST_TEST(IsKnown(key), key);
  }
}

// Guards against keys that are read but not documented: the parser's source names each of them.
BOOST_FIXTURE_TEST_CASE(SettingsKeysOfParserAreDocumented, SettingsDocumentationFixture)
{
  std::ifstream file(SYCAMORE_SETTINGS_SOURCE);
  BOOST_REQUIRE(file);
  const std::string source{ std::istreambuf_iterator<char>(file),
                            std::istreambuf_iterator<char>() };
  std::set<std::string> names;
  for (const std::string& key : mKeys) {
    names.insert(key.substr(key.find('/') + 1));
  }
  // reader.Kind("key", reader.Kind<T>("key", or ReadChoice(reader, "key".
  const std::regex read("[rR]eader(?:\\.\\w+(?:<\\w+>)?\\(|,)\\s*\"([a-z_]+)\"");
  std::set<std::string> found;
  for (std::sregex_iterator match(source.begin(), source.end(), read), end; match != end; ++match) {
    found.insert((*match)[1]);
  }
  BOOST_TEST(found == names, boost::test_tools::per_element());
}

}
