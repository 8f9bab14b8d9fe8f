#pragma once

#include <cstdint>
#include <memory>

namespace sycamore::transport {

// Life of one connection.
enum class LinkPhase : uint8_t
{
  AwaitHello, // Our Hello is sent; the peer's has not arrived.
  Open,
  Closed,
};

// What happens to a connection.
enum class LinkInput : uint8_t
{
  HelloReceived,
  FrameReceived,
  Failed,
};

// The transition table of a connection (Boost.MSM). Not thread-safe.
class LinkMachine
{
public:
  LinkMachine();
  ~LinkMachine();
  LinkMachine(const LinkMachine&) = delete;
  LinkMachine& operator=(const LinkMachine&) = delete;

  // Applies aInput. Returns false if it is not allowed in the present phase, which is a protocol
  // error of the peer; the phase is then Closed.
  bool Apply(LinkInput aInput);

  LinkPhase Phase() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

}
