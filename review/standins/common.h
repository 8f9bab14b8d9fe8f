// Stand-ins for the review: the platform's store, replicas, clients, and the start and end of the
// system's processes. Plain POSIX sockets and threads; no library beyond the C++ standard library.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline Clock::time_point&
StartTime()
{
  static Clock::time_point start = Clock::now();
  return start;
}

inline double
Now()
{
  return std::chrono::duration<double>(Clock::now() - StartTime()).count();
}

inline void
Sleep(double aSeconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
}

inline void
SleepUntil(double aSeconds)
{
  if (aSeconds > Now()) {
    Sleep(aSeconds - Now());
  }
}

// record.txt: one line for each thing that was sent, answered or run.
class Record
{
public:
  static Record& Get()
  {
    static Record record;
    return record;
  }
  void Open(const std::string& aPath) { mFile = std::fopen(aPath.c_str(), "w"); }
  __attribute__((format(printf, 2, 3))) void Line(const char* aFormat, ...)
  {
    const std::lock_guard lock(mMutex);
    if (mFile == nullptr) {
      return;
    }
    std::fprintf(mFile, "%8.3f ", Now());
    va_list arguments;
    va_start(arguments, aFormat);
    std::vfprintf(mFile, aFormat, arguments);
    va_end(arguments);
    std::fputc('\n', mFile);
    std::fflush(mFile);
  }

private:
  std::mutex mMutex;
  FILE* mFile = nullptr;
};

#define RECORD(...) ::review::Record::Get().Line(__VA_ARGS__)

// The processes of the system that run now.
inline std::set<pid_t>&
Processes()
{
  static std::set<pid_t> processes;
  return processes;
}

inline void
EndProcesses()
{
  for (const pid_t process : Processes()) {
    kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
  }
  Processes().clear();
}

[[noreturn]] inline void
CannotRun(const std::string& aWhy)
{
  RECORD("CANNOT RUN: %s", aWhy.c_str());
  std::fprintf(stderr, "cannot run: %s\n", aWhy.c_str());
  EndProcesses();
  std::_Exit(2);
}

// ---- sockets and HTTP

inline sockaddr_in
AddressOf(const std::string& aIp, uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

inline uint16_t
PortOf(int aSocket)
{
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(aSocket, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

// A loopback address for this run, so that runs beside each other don't take each other's ports.
inline const std::string&
OwnIp()
{
  static const std::string ip = "127." + std::to_string(1 + getpid() / 250 % 250) + "." +
                                std::to_string(1 + getpid() % 250) + ".1";
  return ip;
}

// A listening socket; port 0 takes a free one.
inline int
Listen(const std::string& aIp, uint16_t aPort)
{
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  const sockaddr_in address = AddressOf(aIp, aPort);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      listen(listener, 512) != 0) {
    close(listener);
    return -1;
  }
  return listener;
}

inline uint16_t
FreePort(const std::string& aIp)
{
  // The kernel may offer the same port again once it is closed.
  static std::set<std::pair<std::string, uint16_t>> given;
  for (int i = 0; i < 100; ++i) {
    const int listener = Listen(aIp, 0);
    const uint16_t port = listener < 0 ? 0 : PortOf(listener);
    if (listener >= 0) {
      close(listener);
    }
    if (port != 0 && given.insert({ aIp, port }).second) {
      return port;
    }
  }
  CannotRun("no free port on " + aIp);
}

inline bool
SendAll(int aSocket, const std::string& aBytes)
{
  size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t size = send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<size_t>(size);
  }
  return true;
}

inline void
NoDelay(int aSocket)
{
  const int one = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

// Whether the other end has closed the connection or reset it.
inline bool
PeerClosed(int aSocket)
{
  char byte = 0;
  const ssize_t size = recv(aSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

struct Message
{
  std::string mFirst; // Request line or status line.
  std::vector<std::pair<std::string, std::string>> mFields;
  std::string mBody;
  bool mComplete = false;

  std::string Field(const std::string& aName) const
  {
    for (const auto& [name, value] : mFields) {
      if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
        return value;
      }
    }
    return "";
  }
  std::string Method() const { return mFirst.substr(0, mFirst.find(' ')); }
  std::string Target() const
  {
    const size_t begin = mFirst.find(' ') + 1;
    return mFirst.substr(begin, mFirst.find(' ', begin) - begin);
  }
  int Status() const
  {
    const size_t space = mFirst.find(' ');
    return space == std::string::npos ? 0 : std::atoi(mFirst.c_str() + space);
  }
};

// Reads messages from a connection.
class Reader
{
public:
  explicit Reader(int aSocket)
    : mSocket(aSocket)
  {
  }

  // A point in time after which reading fails.
  Clock::time_point mLimit = Clock::time_point::max();

  bool ReadHead(Message& aOut)
  {
    size_t end = 0;
    while ((end = mBuffer.find("\r\n\r\n")) == std::string::npos) {
      if (!More()) {
        return false;
      }
    }
    std::string head = mBuffer.substr(0, end + 2);
    mBuffer.erase(0, end + 4);
    size_t line = head.find("\r\n");
    aOut.mFirst = head.substr(0, line);
    for (size_t begin = line + 2; begin < head.size();) {
      line = head.find("\r\n", begin);
      const std::string field = head.substr(begin, line - begin);
      const size_t colon = field.find(':');
      size_t value = colon + 1;
      while (value < field.size() && field[value] == ' ') {
        ++value;
      }
      aOut.mFields.emplace_back(field.substr(0, colon), field.substr(value));
      begin = line + 2;
    }
    return true;
  }

  // Reads the body. aOnPiece, if set, is called as pieces of a chunked body arrive.
  bool ReadBody(Message& aOut, const std::function<void(const std::string&)>& aOnPiece = nullptr)
  {
    if (strcasecmp(aOut.Field("Transfer-Encoding").c_str(), "chunked") == 0) {
      for (;;) {
        std::string line;
        if (!ReadLine(line)) {
          return false;
        }
        const size_t size = std::strtoul(line.c_str(), nullptr, 16);
        std::string chunk;
        if (!ReadBytes(size + 2, chunk)) {
          return false;
        }
        if (size == 0) {
          return aOut.mComplete = true;
        }
        chunk.resize(size);
        aOut.mBody += chunk;
        if (aOnPiece) {
          aOnPiece(chunk);
        }
      }
    }
    const std::string length = aOut.Field("Content-Length");
    if (!ReadBytes(length.empty() ? 0 : std::strtoul(length.c_str(), nullptr, 10), aOut.mBody)) {
      return false;
    }
    return aOut.mComplete = true;
  }

private:
  bool More()
  {
    if (mLimit != Clock::time_point::max()) {
      const auto left = std::chrono::duration_cast<Ms>(mLimit - Clock::now()).count();
      pollfd wait{ mSocket, POLLIN, 0 };
      if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) <= 0) {
        return false;
      }
    }
    char bytes[65536];
    const ssize_t size = recv(mSocket, bytes, sizeof bytes, 0);
    if (size <= 0) {
      return false;
    }
    mBuffer.append(bytes, static_cast<size_t>(size));
    return true;
  }
  bool ReadLine(std::string& aOut)
  {
    size_t end = 0;
    while ((end = mBuffer.find("\r\n")) == std::string::npos) {
      if (!More()) {
        return false;
      }
    }
    aOut = mBuffer.substr(0, end);
    mBuffer.erase(0, end + 2);
    return true;
  }
  bool ReadBytes(size_t aSize, std::string& aOut)
  {
    while (mBuffer.size() < aSize) {
      if (!More()) {
        return false;
      }
    }
    aOut = mBuffer.substr(0, aSize);
    mBuffer.erase(0, aSize);
    return true;
  }

  int mSocket;
  std::string mBuffer;
};

inline int
Connect(const std::string& aIp, uint16_t aPort, int aTimeoutMs = 1000)
{
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = AddressOf(aIp, aPort);
  if (connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    pollfd wait{ connection, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof error;
    if (errno != EINPROGRESS || poll(&wait, 1, aTimeoutMs) <= 0 ||
        getsockopt(connection, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      close(connection);
      return -1;
    }
  }
  fcntl(connection, F_SETFL, fcntl(connection, F_GETFL) & ~O_NONBLOCK);
  NoDelay(connection);
  return connection;
}

// A server with a thread for each connection. aHandler answers one request on the socket and
// returns whether the connection stays open.
class Server
{
public:
  using Handler = std::function<bool(int, const Message&)>;

  Server(const std::string& aIp, Handler aHandler)
    : mIp(aIp)
    , mHandler(std::move(aHandler))
  {
    Start(0);
  }
  ~Server() { Stop(); }

  uint16_t Port() const { return mPort; }
  std::string Address() const { return mIp + ":" + std::to_string(mPort); }

  // Ends the listener and all connections, as the end of the process would.
  void Stop()
  {
    if (mStopping.exchange(true)) {
      return;
    }
    shutdown(mListener, SHUT_RDWR);
    close(mListener);
    mAcceptor.join();
    const std::lock_guard lock(mMutex);
    for (const int connection : mOpen) {
      const linger reset{ 1, 0 };
      setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      shutdown(connection, SHUT_RDWR);
    }
  }
  // Listens again at the same port.
  void Restart()
  {
    mStopping = false;
    Start(mPort);
  }

private:
  void Start(uint16_t aPort)
  {
    mListener = Listen(mIp, aPort);
    if (mListener < 0) {
      CannotRun("cannot listen on " + mIp);
    }
    mPort = PortOf(mListener);
    mAcceptor = std::thread([this] { Accept(); });
  }
  void Accept()
  {
    for (;;) {
      const int connection = accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (connection < 0) {
        if (mStopping) {
          return;
        }
        continue;
      }
      NoDelay(connection);
      {
        const std::lock_guard lock(mMutex);
        mOpen.insert(connection);
      }
      std::thread([this, connection] { Serve(connection); }).detach();
    }
  }
  void Serve(int aConnection)
  {
    Reader reader(aConnection);
    for (bool open = true; open;) {
      Message request;
      open = reader.ReadHead(request) && reader.ReadBody(request) && mHandler(aConnection, request);
    }
    const std::lock_guard lock(mMutex);
    mOpen.erase(aConnection);
    close(aConnection);
  }

  std::string mIp;
  Handler mHandler;
  uint16_t mPort = 0;
  int mListener = -1;
  std::atomic<bool> mStopping{ false };
  std::mutex mMutex;
  std::set<int> mOpen;
  std::thread mAcceptor;
};

inline std::string
Answer(int aStatus, const std::string& aFields, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

// ---- the platform's store, as PROTOCOL describes it

class Store
{
public:
  struct Entry
  {
    std::string mBytes;
    double mAt = 0;
  };
  struct Part
  {
    uint64_t mFirst = 0;
    std::deque<Entry> mRecords;
    std::map<std::string, std::pair<uint64_t, std::string>> mNewest; // Of a keyed topic.
    uint64_t End() const { return mFirst + mRecords.size(); }
  };

  explicit Store(double aRetentionSeconds)
    : mRetention(aRetentionSeconds)
  {
  }

  double Retention() const { return mRetention; }

  // Opens an address of the store whose answers take aDelay seconds, the way there and back
  // included: a gateway in another region has a longer way.
  uint16_t Open(const std::string& aIp, double aDelay, const std::string& aName)
  {
    mServers.push_back(std::make_unique<Server>(aIp, [=, this](int aSocket, const Message& aRequest) {
      return Handle(aSocket, aRequest, aDelay, aName);
    }));
    return mServers.back()->Port();
  }

  void PutKeyed(const std::string& aTopic, const std::string& aKey, const std::string& aValue)
  {
    const std::lock_guard lock(mMutex);
    AppendLocked(aTopic, 0, std::string(1, static_cast<char>(aKey.size())) + aKey + aValue);
    mChanged.notify_all();
  }

  // Whether a record of the partition holds aText.
  bool Holds(const std::string& aTopic, uint32_t aPart, const std::string& aText)
  {
    const std::lock_guard lock(mMutex);
    for (const Entry& entry : mParts[{ aTopic, aPart }].mRecords) {
      if (entry.mBytes.find(aText) != std::string::npos) {
        return true;
      }
    }
    return false;
  }

  uint64_t EndOf(const std::string& aTopic, uint32_t aPart)
  {
    const std::lock_guard lock(mMutex);
    return mParts[{ aTopic, aPart }].End();
  }
  uint64_t FirstOf(const std::string& aTopic, uint32_t aPart)
  {
    const std::lock_guard lock(mMutex);
    Part& part = mParts[{ aTopic, aPart }];
    Expire(aTopic, part);
    return part.mFirst;
  }

  // Called for each call with the name of the address and the target, before it is carried out.
  std::function<void(const std::string&, const std::string&)> mOnCall;

  // If set: whether the call is answered and carried out; false loses the answer of a call that is
  // carried out.
  std::function<bool(const std::string&, const std::string&)> mAnswers;

private:
  static std::map<std::string, std::string> QueryOf(const std::string& aTarget)
  {
    std::map<std::string, std::string> query;
    size_t begin = aTarget.find('?');
    while (begin != std::string::npos && begin + 1 < aTarget.size()) {
      const size_t end = aTarget.find('&', begin + 1);
      const std::string pair = aTarget.substr(begin + 1, end - begin - 1);
      const size_t equals = pair.find('=');
      query[pair.substr(0, equals)] = equals == std::string::npos ? "" : pair.substr(equals + 1);
      begin = end;
    }
    return query;
  }
  static uint64_t NumberOf(const std::map<std::string, std::string>& aQuery,
                           const std::string& aName,
                           uint64_t aDefault)
  {
    const auto entry = aQuery.find(aName);
    return entry == aQuery.end() ? aDefault : std::strtoull(entry->second.c_str(), nullptr, 10);
  }
  static std::string Big(uint64_t aValue, int aBytes)
  {
    std::string bytes;
    for (int i = aBytes - 1; i >= 0; --i) {
      bytes += static_cast<char>(aValue >> (8 * i));
    }
    return bytes;
  }
  static std::string Base64(const std::string& aBytes)
  {
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (size_t i = 0; i < aBytes.size(); i += 3) {
      uint32_t group = 0;
      for (size_t j = 0; j < 3; ++j) {
        group = group << 8U | (i + j < aBytes.size() ? static_cast<uint8_t>(aBytes[i + j]) : 0U);
      }
      for (size_t j = 0; j < 4; ++j) {
        out += i + j > aBytes.size() ? '=' : digits[group >> (18 - 6 * j) & 63U];
      }
    }
    return out;
  }
  static bool IsKeyed(const std::string& aTopic) { return aTopic.rfind("keyed.", 0) == 0; }

  void AppendLocked(const std::string& aTopic, uint32_t aPart, std::string aBytes)
  {
    Part& part = mParts[{ aTopic, aPart }];
    if (IsKeyed(aTopic)) {
      const size_t size = static_cast<uint8_t>(aBytes[0]);
      const std::string key = aBytes.substr(1, size);
      const std::string value = aBytes.substr(1 + size);
      if (value.empty()) {
        part.mNewest.erase(key);
      } else {
        part.mNewest[key] = { part.End(), value };
      }
    }
    part.mRecords.push_back({ std::move(aBytes), Now() });
  }
  // The oldest records expire after the retention; one stays so that positions are kept.
  void Expire(const std::string& aTopic, Part& aPart)
  {
    while (!IsKeyed(aTopic) && !aPart.mRecords.empty() &&
           Now() - aPart.mRecords.front().mAt > mRetention) {
      aPart.mRecords.pop_front();
      ++aPart.mFirst;
    }
  }
  bool Handle(int aSocket, const Message& aRequest, double aDelay, const std::string& aName)
  {
    static const std::string json = "Content-Type: application/json\r\n";
    const std::string target = aRequest.Target();
    const std::string path = target.substr(0, target.find('?'));
    if (mOnCall) {
      mOnCall(aName, target);
    }
    const bool answers = !mAnswers || mAnswers(aName, target);
    Sleep(aDelay / 2);
    auto query = QueryOf(target);
    const std::string topic = query["topic"];
    const auto number = static_cast<uint32_t>(NumberOf(query, "part", 0));
    std::string answer;
    if (path == "/sycamorelever/log-append") {
      std::unique_lock lock(mMutex);
      Part& part = mParts[{ topic, number }];
      if (topic == "keyed.op" || topic == "keyed.servers") {
        answer = Answer(403, json, "{}");
      } else if (query.count("at") > 0 && NumberOf(query, "at", 0) != part.End()) {
        answer = Answer(412, json, "{\"end\":" + std::to_string(part.End()) + "}");
      } else {
        const uint64_t offset = part.End();
        const std::string& body = aRequest.mBody;
        for (size_t at = 0; at + 4 <= body.size();) {
          size_t size = 0;
          for (int i = 0; i < 4; ++i) {
            size = size << 8U | static_cast<uint8_t>(body[at + i]);
          }
          AppendLocked(topic, number, body.substr(at + 4, size));
          at += 4 + size;
        }
        answer = Answer(200,
                        json,
                        "{\"offset\":" + std::to_string(offset) +
                          ",\"end\":" + std::to_string(part.End()) + "}");
        mChanged.notify_all();
      }
    } else if (path == "/sycamorelever/log-read") {
      const uint64_t from = NumberOf(query, "from", 0);
      const uint64_t limit = NumberOf(query, "max_kb", 1024) * 1024;
      const auto until = Clock::now() + Ms(NumberOf(query, "wait_ms", 0));
      std::unique_lock lock(mMutex);
      Part& part = mParts[{ topic, number }];
      mChanged.wait_until(lock, until, [&] { return part.End() > from; });
      Expire(topic, part);
      if (from < part.mFirst) {
        answer = Answer(410, json, "{\"first\":" + std::to_string(part.mFirst) + "}");
      } else {
        std::string body = Big(part.End(), 8) + Big(part.mFirst, 8);
        size_t bytes = 0;
        for (uint64_t offset = from; offset < part.End(); ++offset) {
          const std::string& record = part.mRecords[offset - part.mFirst].mBytes;
          if (bytes > 0 && bytes + record.size() > limit) {
            break;
          }
          bytes += record.size() + 4;
          body += Big(record.size(), 4) + record;
        }
        answer = Answer(200, "Content-Type: application/octet-stream\r\n", body);
      }
    } else if (path == "/sycamorelever/log-newest") {
      const std::lock_guard lock(mMutex);
      Part& part = mParts[{ topic, number }];
      std::string items;
      for (const auto& [key, value] : part.mNewest) {
        items += std::string(items.empty() ? "" : ",") + "{\"key\":\"" + key + "\",\"value\":\"" +
                 Base64(value.second) + "\",\"offset\":" + std::to_string(value.first) + "}";
      }
      answer = Answer(200,
                      json,
                      "{\"items\":[" + items + "],\"more\":false,\"end\":" +
                        std::to_string(part.End()) + "}");
    } else {
      answer = Answer(404, json, "{}");
    }
    Sleep(aDelay / 2);
    if (!answers) {
      // The answer is lost: nothing comes on this connection any more.
      while (!PeerClosed(aSocket)) {
        Sleep(0.02);
      }
      return false;
    }
    return SendAll(aSocket, answer);
  }

  const double mRetention;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::pair<std::string, uint32_t>, Part> mParts;
  std::vector<std::unique_ptr<Server>> mServers;
};

// ---- a replica that answers with streams of events, or with plain answers

struct ReplicaRun
{
  double mAt = 0;
  std::string mReplica;
  std::string mAttempt;
  std::string mTarget;
  std::string mBody;
  std::string mPrevious;
};

inline std::mutex gRunsMutex;
inline std::vector<ReplicaRun> gRuns;

inline std::vector<ReplicaRun>
RunsOf(const std::string& aAttempt)
{
  const std::lock_guard lock(gRunsMutex);
  std::vector<ReplicaRun> runs;
  for (const ReplicaRun& run : gRuns) {
    if (run.mAttempt == aAttempt) {
      runs.push_back(run);
    }
  }
  return runs;
}

// Text of event N of an attempt: what a turn contributes to later prompts.
inline std::string
EventText(const std::string& aAttempt, int aNumber)
{
  return "word-" + std::to_string(aNumber) + "-of-" + aAttempt;
}

class Replica
{
public:
  Replica(Store& aStore,
          const std::string& aIp,
          const std::string& aId,
          const std::string& aService,
          const std::string& aZone,
          bool aStreams)
    : mStore(aStore)
    , mId(aId)
    , mService(aService)
    , mZone(aZone)
    , mStreams(aStreams)
    , mServer(aIp, [this](int aSocket, const Message& aRequest) { return Handle(aSocket, aRequest); })
  {
    Beat("ready");
    mBeats = std::thread([this] {
      for (int i = 0; !mEnding; ++i) {
        Sleep(0.1);
        if (i % 12 == 11 && mListed) {
          Beat("ready");
        }
      }
    });
  }
  ~Replica()
  {
    mEnding = true;
    mBeats.join();
    mServer.Stop();
  }

  double mEventPause = 0.01;
  double mWork = 0.03;   // Of a plain call, and until the first event of a stream.
  int mTokensPerEvent = 8;

  Server& Listener() { return mServer; }
  const std::string& Id() const { return mId; }

  // If set, it answers in place of this class when it returns true.
  std::function<bool(int, const Message&, bool& aOutKeep)> mOverride;

private:
  void Beat(const std::string& aState)
  {
    mStore.PutKeyed("keyed.servers",
                    mId,
                    "{\"service\":\"" + mService + "\",\"address\":\"" + mServer.Address() +
                      "\",\"zone\":\"" + mZone + "\",\"version\":\"v1\",\"slots\":16,\"state\":\"" +
                      aState + "\",\"cold_left_ms\":0,\"born\":" + std::to_string(mBorn) +
                      ",\"seq\":" + std::to_string(++mSeq) + "}");
  }
  bool Handle(int aSocket, const Message& aRequest)
  {
    const std::string attempt = aRequest.Field("X-Sycamorelever-Attempt-Id");
    const std::string expected = aRequest.Field("X-Sycamorelever-Expect-Instance");
    const std::string echo = "X-Sycamorelever-Attempt-Id: " + attempt + "\r\n";
    if (!expected.empty() && expected != mId) {
      return SendAll(
        aSocket, Answer(421, echo + "X-Sycamorelever-Replica-Id: " + mId + "\r\n", ""));
    }
    if (attempt.empty()) {
      return SendAll(aSocket, Answer(400, "X-Sycamorelever-Not-Executed: 1\r\n", ""));
    }
    const int running = ++mRunning;
    const std::string fields = echo + "X-Sycamorelever-Server-Signature: s." + attempt + "." + mId +
                               "\r\nX-Sycamorelever-Replica-Load: " + std::to_string(running) +
                               ",0,16\r\nKeep-Alive: timeout=15\r\n";
    {
      const std::lock_guard lock(gRunsMutex);
      gRuns.push_back({ Now(),
                        mId,
                        attempt,
                        aRequest.Target(),
                        aRequest.mBody,
                        aRequest.Field("X-Sycamorelever-Previous-Turn") });
    }
    RECORD("run replica=%s attempt=%s target=%s body_bytes=%zu",
           mId.c_str(),
           attempt.c_str(),
           aRequest.Target().c_str(),
           aRequest.mBody.size());
    bool keep = true;
    if (mOverride && mOverride(aSocket, aRequest, keep)) {
      --mRunning;
      return keep;
    }
    Sleep(mWork);
    const bool sent = mStreams ? Stream(aSocket, aRequest, attempt, fields)
                               : SendAll(aSocket, Answer(200, fields, "done " + attempt));
    --mRunning;
    return sent;
  }
  // As many events as the most tokens of the turn allow.
  bool Stream(int aSocket,
              const Message& aRequest,
              const std::string& aAttempt,
              const std::string& aFields)
  {
    const std::string usage = aRequest.Field("X-Sycamorelever-Token-Usage");
    const int most = std::atoi(usage.c_str() + std::min(usage.find(',') + 1, usage.size()));
    const int events = std::max(1, most / mTokensPerEvent);
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + aFields +
                       "Transfer-Encoding: chunked\r\n\r\n";
    bool open = SendAll(aSocket, head);
    for (int i = 1; open && i <= events; ++i) {
      const std::string event =
        "id: " + std::to_string(i) + "\ndata: " + EventText(aAttempt, i) + "\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", event.size());
      open = SendAll(aSocket, size + event + "\r\n") && !PeerClosed(aSocket);
      Sleep(mEventPause);
    }
    return open && SendAll(aSocket, "0\r\n\r\n");
  }

  Store& mStore;
  const std::string mId;
  const std::string mService;
  const std::string mZone;
  const bool mStreams;
  const int64_t mBorn =
    std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count();
  std::atomic<int> mRunning{ 0 };
  std::atomic<bool> mEnding{ false };
  std::atomic<bool> mListed{ true };
  int mSeq = 0;
  Server mServer;
  std::thread mBeats;
};

// ---- processes of the system

// A process of the deploy file's role, with a settings file made as its template says.
class Gateway
{
public:
  Gateway(const std::string& aFolder,
          const std::string& aName,
          const std::string& aIp,
          const std::string& aZone,
          const std::string& aRegion,
          const std::string& aZones,
          const std::string& aStore,
          double aStoreRetention,
          double aLinkMbits = 1000.0)
    : mName(aName)
    , mIp(aIp)
    , mFile(aFolder + "/" + aName + ".conf")
    , mLog(aFolder + "/" + aName + ".log")
  {
    mFront = FreePort(aIp);
    mReadiness = FreePort(aIp);
    mMetrics = FreePort(aIp);
    const uint16_t peer = FreePort(aIp);
    std::ofstream file(mFile);
    const auto at = [&](uint16_t aPort) { return "\"" + aIp + ":" + std::to_string(aPort) + "\""; };
    file << "{\n  \"role\": \"gateway\",\n  \"instance\": \"" << aName << "\",\n  \"region\": \""
         << aRegion << "\",\n  \"domain\": \"" << aZone << "\",\n  \"regions\": " << aZones
         << ",\n  \"http\": " << at(mFront) << ",\n  \"readiness\": " << at(mReadiness)
         << ",\n  \"metrics\": " << at(mMetrics) << ",\n  \"peer\": " << at(peer)
         << ",\n  \"store\": \"" << aStore << "\",\n  \"store_retention_s\": " << aStoreRetention
         << ",\n  \"store_partitions\": 12,\n  \"link_mbits\": " << aLinkMbits
         << ",\n  \"stop_grace_s\": 8\n}\n";
  }
  ~Gateway() { Kill(); }

  const std::string& Name() const { return mName; }
  const std::string& Ip() const { return mIp; }
  uint16_t Front() const { return mFront; }
  uint16_t Metrics() const { return mMetrics; }

  void Start()
  {
    const char* binary = std::getenv("GATEWAY");
    if (binary == nullptr || access(binary, X_OK) != 0) {
      CannotRun("the program of the deploy file is not built");
    }
    RECORD("start %s", mName.c_str());
    const std::string settings = "--settings=" + mFile;
    mPid = fork();
    if (mPid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = open(mLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      execl(binary, binary, settings.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    Processes().insert(mPid);
  }
  void Signal(int aSignal)
  {
    RECORD("signal %d to %s", aSignal, mName.c_str());
    kill(mPid, aSignal);
  }
  void Kill()
  {
    if (mPid > 0) {
      Signal(SIGKILL);
      waitpid(mPid, nullptr, 0);
      Processes().erase(mPid);
      mPid = -1;
    }
  }
  // SIGTERM, and SIGKILL after the grace, as the platform does.
  void Stop(double aGrace = 8)
  {
    Signal(SIGTERM);
    const double limit = Now() + aGrace;
    int status = 0;
    while (waitpid(mPid, &status, WNOHANG) == 0) {
      if (Now() > limit) {
        kill(mPid, SIGKILL);
        waitpid(mPid, &status, 0);
        break;
      }
      Sleep(0.02);
    }
    RECORD("%s ended, status %d", mName.c_str(), status);
    Processes().erase(mPid);
    mPid = -1;
  }
  // Whether the process has ended by itself.
  bool Ended()
  {
    int status = 0;
    if (mPid > 0 && waitpid(mPid, &status, WNOHANG) == mPid) {
      RECORD("%s ended by itself, status %d", mName.c_str(), status);
      Processes().erase(mPid);
      mPid = -1;
    }
    return mPid <= 0;
  }
  bool Ready()
  {
    const int connection = Connect(mIp, mReadiness);
    if (connection < 0) {
      return false;
    }
    SendAll(connection, "GET /sycamorelever/readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n");
    Reader reader(connection);
    reader.mLimit = Clock::now() + Ms(1000);
    Message answer;
    const bool ready = reader.ReadHead(answer) && answer.Status() == 200;
    close(connection);
    return ready;
  }
  void AwaitReady(double aSeconds = 20)
  {
    const double limit = Now() + aSeconds;
    while (!Ready()) {
      if (Ended() || Now() > limit) {
        CannotRun(mName + " is not ready");
      }
      Sleep(0.1);
    }
    RECORD("%s is ready", mName.c_str());
  }

private:
  std::string mName;
  std::string mIp;
  std::string mFile;
  std::string mLog;
  uint16_t mFront = 0;
  uint16_t mReadiness = 0;
  uint16_t mMetrics = 0;
  pid_t mPid = -1;
};

// ---- clients

struct Turn
{
  std::string mProgram;
  std::string mPrevious;
  std::string mInput;
  int mMaxTokens = 16;
  int mBudget = 100000;
  int mDeadlineMs = 4000;
  int mProgramDeadlineMs = 60000;
};

struct Outcome
{
  std::string mAttempt;
  int mStatus = 0; // 0 if there was no answer.
  bool mComplete = false;
  std::string mBody;
  double mSentAt = 0;
  double mEndedAt = 0;
  int mEvents = 0;

  bool Whole() const { return mStatus == 200 && mComplete; }
};

inline std::string
NewAttempt()
{
  static std::atomic<uint64_t> next{ 0 };
  static const uint64_t seed =
    static_cast<uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
  uint64_t hash = (seed + ++next) * 0x9E3779B97F4A7C15ULL;
  hash ^= hash >> 29U;
  hash *= 0xBF58476D1CE4E5B9ULL;
  hash ^= hash >> 32U;
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(hash | 1U));
  return text;
}

inline Outcome
Exchange(const std::string& aIp,
         uint16_t aPort,
         const std::string& aBytes,
         const std::string& aAttempt,
         int aDeadlineMs)
{
  Outcome outcome;
  outcome.mAttempt = aAttempt;
  outcome.mSentAt = Now();
  const int connection = Connect(aIp, aPort);
  if (connection >= 0) {
    Reader reader(connection);
    reader.mLimit = Clock::now() + Ms(aDeadlineMs + 500);
    Message answer;
    if (SendAll(connection, aBytes) && reader.ReadHead(answer)) {
      outcome.mStatus = answer.Status();
      reader.ReadBody(answer);
      outcome.mComplete = answer.mComplete;
    }
    outcome.mBody = answer.mBody;
    close(connection);
  }
  for (size_t at = outcome.mBody.find("\n\n"); at != std::string::npos;
       at = outcome.mBody.find("\n\n", at + 2)) {
    ++outcome.mEvents;
  }
  outcome.mEndedAt = Now();
  return outcome;
}

inline Outcome
SendTurn(const Gateway& aGateway, const Turn& aTurn)
{
  const std::string attempt = NewAttempt();
  std::string bytes = "POST /talk/x HTTP/1.1\r\nHost: review.example\r\n"
                      "X-Sycamorelever-Attempt-Id: " +
                      attempt + "\r\nX-Sycamorelever-Program-Id: " + aTurn.mProgram +
                      "\r\nX-Sycamorelever-Session-Id: s" + aTurn.mProgram +
                      "\r\nX-Sycamorelever-Deadline-Ms: " + std::to_string(aTurn.mDeadlineMs) +
                      "\r\nX-Sycamorelever-Program-Deadline-Ms: " +
                      std::to_string(aTurn.mProgramDeadlineMs) +
                      "\r\nX-Sycamorelever-Token-Budget: " + std::to_string(aTurn.mBudget) +
                      "\r\nX-Sycamorelever-Token-Usage: " + std::to_string(aTurn.mInput.size() / 4) +
                      "," + std::to_string(aTurn.mMaxTokens) + "\r\n";
  if (!aTurn.mPrevious.empty()) {
    bytes += "X-Sycamorelever-Previous-Turn: " + aTurn.mPrevious + "\r\n";
  }
  bytes += "Content-Length: " + std::to_string(aTurn.mInput.size()) + "\r\n\r\n" + aTurn.mInput;
  RECORD("send to=%s attempt=%s program=%s previous=%s input_bytes=%zu max_tokens=%d",
         aGateway.Name().c_str(),
         attempt.c_str(),
         aTurn.mProgram.c_str(),
         aTurn.mPrevious.c_str(),
         aTurn.mInput.size(),
         aTurn.mMaxTokens);
  Outcome outcome =
    Exchange(aGateway.Ip(), aGateway.Front(), bytes, attempt, aTurn.mDeadlineMs);
  RECORD("answer from=%s attempt=%s status=%d complete=%d events=%d took_ms=%.0f%s%s",
         aGateway.Name().c_str(),
         attempt.c_str(),
         outcome.mStatus,
         outcome.mComplete,
         outcome.mEvents,
         (outcome.mEndedAt - outcome.mSentAt) * 1000,
         outcome.mStatus == 200 ? "" : " body=",
         outcome.mStatus == 200 ? "" : outcome.mBody.c_str());
  return outcome;
}

// ---- the deployment of a case

inline bool
Trouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

// The operator's configuration: one route of turns and one of a tool that may run once.
inline void
PutConfiguration(Store& aStore, double aTurnRetention, int aTimeoutMs = 4000)
{
  aStore.PutKeyed(
    "keyed.op",
    "config",
    "{\"version\":7,\"routes\":[{\"name\":\"talk\",\"host\":\"review.example\",\"path_prefix\":"
    "\"/talk/\",\"route_type\":\"stream\",\"timeout_ms\":" +
      std::to_string(aTimeoutMs) +
      ",\"target_latency_ms\":400,\"priority\":0,\"service\":\"models\",\"attempts\":2,\"retain\":"
      "true,\"retention_s\":" +
      std::to_string(aTurnRetention) +
      ",\"sticky\":true,\"resumable\":false,\"gap_aim_ms\":200},{\"name\":\"pay\",\"host\":"
      "\"review.example\",\"path_prefix\":\"/pay/\",\"route_type\":\"non_idempotent\","
      "\"timeout_ms\":3000,\"target_latency_ms\":600,\"priority\":0,\"service\":\"desk\","
      "\"attempts\":2}],\"services\":[{\"name\":\"models\",\"health_check\":\"/healthz\","
      "\"max_connections\":170,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":16,"
      "\"kv_capacity\":166359,\"stride\":8,\"models\":[{\"name\":\"m\"}]}},{\"name\":\"desk\","
      "\"health_check\":\"/healthz\",\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":"
      "3000,\"idle_timeout_ms\":15000}}");
}

// Ends the case: 1 if the rule was broken, 0 if it held.
[[noreturn]] inline void
Finish(bool aBroken, const std::string& aWhat)
{
  RECORD("%s: %s", aBroken ? "BROKEN" : "HELD", aWhat.c_str());
  std::printf("%s: %s\n", aBroken ? "BROKEN" : "HELD", aWhat.c_str());
  std::fflush(stdout);
  EndProcesses();
  std::_Exit(aBroken ? 1 : 0);
}

}
