#pragma once

#include "scripted_entry.h"

#include "sycamore/ctl/command.h"

#include <gflags/gflags.h>
#include <string>
#include <string_view>
#include <vector>

namespace sycamore::ctl {

using client::CompletePart;
using client::ScriptedEntry;

// Runs commands with flags as given on a command line; restores all flags after each.
struct CommandFixture
{
  std::string mOut;
  std::string mErr;
  Terminal mTerminal{ [this](std::string_view aText) { mOut += aText; },
                      [this](std::string_view aText) { mErr += aText; } };

  ExitCode Run(std::vector<std::string> aWords)
  {
    const gflags::FlagSaver saver;
    aWords.insert(aWords.begin(), "sycamorectl");
    std::vector<char*> words;
    for (std::string& word : aWords) {
      words.push_back(word.data());
    }
    words.push_back(nullptr);
    return Main(static_cast<int>(aWords.size()), words.data(), mTerminal);
  }

  static std::string EntryFlag(const ScriptedEntry& aEntry)
  {
    return "--entry=" + http::ToString(aEntry.mEndpoint);
  }

  static bool Contains(const std::string& aText, std::string_view aPart)
  {
    return aText.find(aPart) != std::string::npos;
  }

  // An entry that answers everything with aStatus and aBody.
  static ScriptedEntry::Script Always(int aStatus, const std::string& aBody)
  {
    return [aStatus, aBody](http::Server& aServer, const http::Request& aRequest, int) {
      aServer.Send(CompletePart(aRequest, aStatus, aBody));
    };
  }
};

}
