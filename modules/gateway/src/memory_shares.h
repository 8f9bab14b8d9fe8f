#pragma once

#include <cstddef>

namespace sycamore::gateway {

// What a call takes besides its heads and its bodies: the state of its coroutines, and the buffers
// of its connection to a replica.
inline constexpr size_t kCallBytes = size_t{ 28 } << 10;

// What is left of kCallBytes while the answer, which is complete, is being sent.
inline constexpr size_t kAnswerBytes = size_t{ 4 } << 10;

// How the memory of the process is shared among what clients, replicas and other gateways make it
// hold. Sizes are those of what arrives; copies are taken off.
struct MemoryShares
{
  size_t mBodies = 0;   // Of requests and answers in progress.
  size_t mRequests = 0; // Heads of requests and answers, and what a call takes besides its bodies.
  size_t mCalls = 0;    // Calls in progress that fit into mRequests.
  size_t mFrames = 0;   // Requests of other gateways in progress, and their responses.
  size_t mStatus = 0;   // Requests to the readiness and metrics addresses.
};

// The shares of aProcessBytes, the memory of the process.
MemoryShares
MemorySharesOf(size_t aProcessBytes);

}
