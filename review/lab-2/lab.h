// Parts of the scripts of this review: stand-ins for the platform's store, for replicas and for
// clients, and the gateways as child processes. Blocking sockets and a thread for each connection,
// on loopback addresses only.
#pragma once

#include <algorithm>
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
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace lab {

using Clock = std::chrono::steady_clock;

// Exit codes of a script.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

inline const Clock::time_point gBegin = Clock::now();

// Seconds since the start of the script.
inline double
Now()
{
  return std::chrono::duration<double>(Clock::now() - gBegin).count();
}

inline void
Sleep(double aSeconds)
{
  if (aSeconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
  }
}

inline void
SleepUntil(double aTime)
{
  Sleep(aTime - Now());
}

// Writes a line to the record and to standard output.
__attribute__((format(printf, 1, 2))) inline void
Note(const char* aFormat, ...)
{
  static std::mutex mutex;
  static FILE* file = std::fopen(std::getenv("RECORD") ? std::getenv("RECORD") : "record.txt", "w");
  char text[2000];
  va_list arguments;
  va_start(arguments, aFormat);
  std::vsnprintf(text, sizeof text, aFormat, arguments);
  va_end(arguments);
  const std::lock_guard lock(mutex);
  if (file != nullptr) {
    std::fprintf(file, "%8.3f  %s\n", Now(), text);
    std::fflush(file);
  }
}

// A line of the result, on standard output too.
__attribute__((format(printf, 1, 2))) inline void
Tell(const char* aFormat, ...)
{
  char text[2000];
  va_list arguments;
  va_start(arguments, aFormat);
  std::vsnprintf(text, sizeof text, aFormat, arguments);
  va_end(arguments);
  std::printf("%s\n", text);
  std::fflush(stdout);
  Note("%s", text);
}

inline std::string
Text(const char* aFormat, ...)
{
  char text[4000];
  va_list arguments;
  va_start(arguments, aFormat);
  std::vsnprintf(text, sizeof text, aFormat, arguments);
  va_end(arguments);
  return text;
}

inline bool
Trouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

struct Message
{
  std::string mStart; // Request line or status line.
  std::vector<std::pair<std::string, std::string>> mFields;
  std::string mBody;

  std::string Field(const char* aName) const
  {
    for (const auto& [name, value] : mFields) {
      if (strcasecmp(name.c_str(), aName) == 0) {
        return value;
      }
    }
    return "";
  }
  std::string Word(size_t aIndex) const
  {
    size_t begin = 0;
    for (; aIndex > 0; --aIndex) {
      begin = mStart.find(' ', begin);
      if (begin == std::string::npos) {
        return "";
      }
      ++begin;
    }
    return mStart.substr(begin, mStart.find(' ', begin) - begin);
  }
  int Status() const { return std::atoi(Word(1).c_str()); }
};

inline sockaddr_in
AddressOf(const std::string& aIp, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

// One connection; buffers what was read beyond a message.
class Connection
{
public:
  explicit Connection(int aSocket)
    : mSocket(aSocket)
  {
    const int one = 1;
    setsockopt(mSocket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  }
  ~Connection() { ::close(mSocket); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  int Socket() const { return mSocket; }

  bool Write(const std::string& aBytes)
  {
    size_t sent = 0;
    while (sent < aBytes.size()) {
      const ssize_t n =
        ::send(mSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      sent += static_cast<size_t>(n);
    }
    return true;
  }

  // Whether the other end has closed or reset the connection.
  bool Closed() const
  {
    char byte = 0;
    const ssize_t n = ::recv(mSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  // Resets the connection.
  void Reset()
  {
    const linger hard{ 1, 0 };
    setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    ::shutdown(mSocket, SHUT_RD);
  }

  // Reads a whole message with a length or in chunks, until aDeadline. False if it does not come;
  // mBody then holds what came of the body.
  bool Read(Message& aOut, double aDeadline, bool* aOutBegun = nullptr)
  {
    aOut = {};
    size_t end = 0;
    while ((end = mBuffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(aDeadline)) {
        return false;
      }
    }
    const std::string head = mBuffer.substr(0, end + 2);
    mBuffer.erase(0, end + 4);
    size_t line = head.find("\r\n");
    aOut.mStart = head.substr(0, line);
    for (line += 2; line < head.size();) {
      const size_t next = head.find("\r\n", line);
      const std::string field = head.substr(line, next - line);
      const size_t colon = field.find(':');
      if (colon != std::string::npos) {
        const size_t value = field.find_first_not_of(' ', colon + 1);
        aOut.mFields.emplace_back(field.substr(0, colon),
                                  value == std::string::npos ? "" : field.substr(value));
      }
      line = next + 2;
    }
    if (aOutBegun != nullptr) {
      *aOutBegun = true;
    }
    if (strcasecmp(aOut.Field("Transfer-Encoding").c_str(), "chunked") == 0) {
      return ReadChunks(aOut, aDeadline);
    }
    const size_t length = std::strtoul(aOut.Field("Content-Length").c_str(), nullptr, 10);
    while (mBuffer.size() < length) {
      if (!Fill(aDeadline)) {
        aOut.mBody = mBuffer;
        return false;
      }
    }
    aOut.mBody = mBuffer.substr(0, length);
    mBuffer.erase(0, length);
    return true;
  }

private:
  bool Fill(double aDeadline)
  {
    const double left = aDeadline - Now();
    if (left <= 0) {
      return false;
    }
    pollfd wait{ mSocket, POLLIN, 0 };
    if (::poll(&wait, 1, static_cast<int>(left * 1000) + 1) <= 0) {
      return false;
    }
    char bytes[65536];
    const ssize_t n = ::recv(mSocket, bytes, sizeof bytes, 0);
    if (n <= 0) {
      return false;
    }
    mBuffer.append(bytes, static_cast<size_t>(n));
    return true;
  }

  bool ReadChunks(Message& aOut, double aDeadline)
  {
    for (;;) {
      size_t eol = 0;
      while ((eol = mBuffer.find("\r\n")) == std::string::npos) {
        if (!Fill(aDeadline)) {
          return false;
        }
      }
      const size_t size = std::strtoul(mBuffer.c_str(), nullptr, 16);
      while (mBuffer.size() < eol + 2 + size + 2) {
        if (!Fill(aDeadline)) {
          return false;
        }
      }
      aOut.mBody += mBuffer.substr(eol + 2, size);
      mBuffer.erase(0, eol + 2 + size + 2);
      if (size == 0) {
        return true;
      }
    }
  }

  int mSocket;
  std::string mBuffer;
};

// Accepts connections and runs a handler for each in a thread of its own.
class Server
{
public:
  using Handler = std::function<void(Connection&)>;

  explicit Server(Handler aHandler)
    : mHandler(std::move(aHandler))
  {
    Listen();
  }
  ~Server() { Stop(false); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  int Port() const { return mPort; }
  std::string Address() const { return "127.0.0.1:" + std::to_string(mPort); }

  // Ends the listening socket and all connections, with a reset if aReset.
  void Stop(bool aReset)
  {
    mStopping = true;
    if (mListener >= 0) {
      ::shutdown(mListener, SHUT_RDWR);
    }
    if (mThread.joinable()) {
      mThread.join();
    }
    if (mListener >= 0) {
      ::close(mListener);
      mListener = -1;
    }
    {
      const std::lock_guard lock(mMutex);
      for (const int socket : mOpen) {
        if (aReset) {
          const linger hard{ 1, 0 };
          setsockopt(socket, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        }
        ::shutdown(socket, SHUT_RDWR);
      }
    }
    for (std::thread& thread : mThreads) {
      thread.join();
    }
    mThreads.clear();
  }

  // Listens again at the same port.
  void Restart()
  {
    mStopping = false;
    Listen();
  }

private:
  void Listen()
  {
    mListener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address = AddressOf("127.0.0.1", mPort);
    if (::bind(mListener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(mListener, 512) != 0) {
      Tell("cannot listen on port %d", mPort);
      std::exit(kCannotRun);
    }
    socklen_t size = sizeof address;
    getsockname(mListener, reinterpret_cast<sockaddr*>(&address), &size);
    mPort = ntohs(address.sin_port);
    mThread = std::thread([this] { Accept(); });
  }

  void Accept()
  {
    while (!mStopping) {
      const int socket = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        if (mStopping) {
          return;
        }
        Sleep(0.01);
        continue;
      }
      const std::lock_guard lock(mMutex);
      mOpen.insert(socket);
      mThreads.emplace_back([this, socket] {
        Connection connection(socket);
        mHandler(connection);
        const std::lock_guard inner(mMutex);
        mOpen.erase(socket);
      });
    }
  }

  Handler mHandler;
  int mPort = 0;
  int mListener = -1;
  std::atomic<bool> mStopping{ false };
  std::mutex mMutex;
  std::set<int> mOpen;
  std::vector<std::thread> mThreads;
  std::thread mThread;
};

inline std::string
Base64(const std::string& aBytes)
{
  static const char* const digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < aBytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      group = group << 8 | (i + j < aBytes.size() ? static_cast<unsigned char>(aBytes[i + j]) : 0);
    }
    for (size_t j = 0; j < 4; ++j) {
      text += i + j <= aBytes.size() ? digits[group >> (18 - 6 * j) & 63] : '=';
    }
  }
  return text;
}

inline std::string
BigEndian(uint64_t aValue, int aBytes)
{
  std::string text;
  for (int i = aBytes - 1; i >= 0; --i) {
    text += static_cast<char>(aValue >> (8 * i) & 255);
  }
  return text;
}

// The platform's store: a log with topics, as PROTOCOL tells it.
class Store
{
public:
  Store()
    : mServer([this](Connection& aConnection) { Serve(aConnection, 0); })
    , mFar([this](Connection& aConnection) { Serve(aConnection, kFarMs); })
  {
  }

  std::string Address() const { return mServer.Address(); }

  // The store as another region reaches it: 30 ms away.
  std::string FarAddress() const { return mFar.Address(); }

  // Writes a key of a keyed topic, as the operator and the replicas do. Without a value the key is
  // dropped.
  void Put(const std::string& aTopic, const std::string& aKey, const std::string& aValue)
  {
    std::string record(1, static_cast<char>(aKey.size()));
    record += aKey + aValue;
    const std::lock_guard lock(mMutex);
    mTopics[aTopic + "/0"].push_back(record);
    mChanged.notify_all();
  }

  // Milliseconds that each answer takes.
  std::atomic<int> mDelayMs{ 4 };
  // Called before each answer with the member's call; may wait. Returns whether it is answered.
  std::function<bool(const Message&)> mGate;
  std::atomic<uint64_t> mAppends{ 0 };

private:
  using Log = std::vector<std::string>;

  static std::string Query(const std::string& aTarget, const std::string& aName)
  {
    const size_t question = aTarget.find('?');
    if (question == std::string::npos) {
      return "";
    }
    const std::string query = "&" + aTarget.substr(question + 1) + "&";
    const size_t begin = query.find("&" + aName + "=");
    if (begin == std::string::npos) {
      return "";
    }
    const size_t value = begin + aName.size() + 2;
    return query.substr(value, query.find('&', value) - value);
  }

  static std::string Json(const std::string& aBody)
  {
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  }

  static constexpr int kFarMs = 60;

  void Serve(Connection& aConnection, int aMoreMs)
  {
    Message request;
    while (aConnection.Read(request, Now() + 3600)) {
      Sleep((mDelayMs + aMoreMs) / 1000.0);
      if (mGate && !mGate(request)) {
        return;
      }
      if (!aConnection.Write(Answer(request))) {
        return;
      }
    }
  }

  std::string Answer(const Message& aRequest)
  {
    const std::string target = aRequest.Word(1);
    const std::string topic = Query(target, "topic") + "/" + Query(target, "part");
    if (target.rfind("/sycamorelever/log-append", 0) == 0) {
      return Append(topic, aRequest.mBody);
    }
    if (target.rfind("/sycamorelever/log-read", 0) == 0) {
      return Read(topic,
                  std::strtoull(Query(target, "from").c_str(), nullptr, 10),
                  std::atof(Query(target, "wait_ms").c_str()) / 1000,
                  std::strtoull(Query(target, "max_kb").c_str(), nullptr, 10));
    }
    if (target.rfind("/sycamorelever/log-newest", 0) == 0) {
      return Newest(topic);
    }
    return "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
  }

  std::string Append(const std::string& aTopic, const std::string& aBody)
  {
    const std::lock_guard lock(mMutex);
    Log& log = mTopics[aTopic];
    const size_t offset = log.size();
    for (size_t at = 0; at + 4 <= aBody.size();) {
      uint32_t length = 0;
      for (int i = 0; i < 4; ++i) {
        length = length << 8 | static_cast<unsigned char>(aBody[at + static_cast<size_t>(i)]);
      }
      log.push_back(aBody.substr(at + 4, length));
      at += 4 + length;
    }
    ++mAppends;
    mChanged.notify_all();
    return Json(Text("{\"offset\":%zu,\"end\":%zu}", offset, log.size()));
  }

  std::string Read(const std::string& aTopic, uint64_t aFrom, double aWait, uint64_t aMaxKb)
  {
    std::unique_lock lock(mMutex);
    mChanged.wait_for(lock, std::chrono::duration<double>(aWait), [&] {
      return mTopics[aTopic].size() > aFrom;
    });
    const Log& log = mTopics[aTopic];
    std::string body = BigEndian(log.size(), 8) + BigEndian(0, 8);
    const size_t most = (aMaxKb == 0 ? 1024 : aMaxKb) * 1024;
    for (uint64_t i = aFrom; i < log.size(); ++i) {
      if (i > aFrom && body.size() + log[i].size() > most) {
        break;
      }
      body += BigEndian(log[i].size(), 4) + log[i];
    }
    return "HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  std::string Newest(const std::string& aTopic)
  {
    const std::lock_guard lock(mMutex);
    const Log& log = mTopics[aTopic];
    std::map<std::string, std::pair<size_t, std::string>> newest;
    for (size_t i = 0; i < log.size(); ++i) {
      const auto key = log[i].substr(1, static_cast<unsigned char>(log[i][0]));
      const auto value = log[i].substr(1 + key.size());
      if (value.empty()) {
        newest.erase(key);
      } else {
        newest[key] = { i, value };
      }
    }
    std::string items;
    for (const auto& [key, record] : newest) {
      items += Text("%s{\"key\":\"%s\",\"offset\":%zu,\"value\":\"",
                    items.empty() ? "" : ",",
                    key.c_str(),
                    record.first) +
               Base64(record.second) + "\"}";
    }
    return Json("{\"items\":[" + items + "],\"more\":false,\"end\":" + std::to_string(log.size()) +
                "}");
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, Log> mTopics; // By name and partition.
  Server mServer;
  Server mFar;
};

// A port that is free now, below those that the kernel gives to outgoing connections.
inline int
FreePort()
{
  static uint32_t next = static_cast<uint32_t>(::getpid()) * 97;
  for (;;) {
    const int port = 15000 + static_cast<int>(next++ % 15000);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = AddressOf("127.0.0.1", port);
    const int bound = ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    ::close(socket);
    if (bound == 0) {
      return port;
    }
  }
}

// A gateway as a child process, started with the command of the deploy file.
class Gateway
{
public:
  struct Place
  {
    std::string mInstance;
    std::string mDomain;
    std::string mRegion;
    std::string mRegions; // JSON: domain to region.
    int mMemoryMb = 280;
  };

  Gateway(Place aPlace, std::string aStore, std::string aMore = "")
    : mPlace(std::move(aPlace))
    , mStore(std::move(aStore))
    , mMore(std::move(aMore))
    , mFront(FreePort())
    , mReadiness(FreePort())
    , mPeer(FreePort())
    , mMetrics(FreePort())
  {
    Start();
  }
  ~Gateway()
  {
    if (mChild > 0) {
      Kill();
    }
  }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  int Front() const { return mFront; }
  int Peer() const { return mPeer; }
  const std::string& Instance() const { return mPlace.mInstance; }

  void Start()
  {
    const char* root = std::getenv("ROOT");
    const char* temporary = std::getenv("WORK");
    if (root == nullptr || temporary == nullptr) {
      Tell("ROOT and WORK must be set");
      std::exit(kCannotRun);
    }
    const std::string path = std::string(temporary) + "/" + mPlace.mInstance + ".json";
    std::ofstream(path) << "{\"role\":\"gateway\",\"instance\":\"" << mPlace.mInstance
                        << "\",\"region\":\"" << mPlace.mRegion << "\",\"domain\":\""
                        << mPlace.mDomain << "\",\"regions\":" << mPlace.mRegions
                        << ",\"http\":\"127.0.0.1:" << mFront
                        << "\",\"readiness\":\"127.0.0.1:" << mReadiness
                        << "\",\"metrics\":\"127.0.0.1:" << mMetrics
                        << "\",\"peer\":\"127.0.0.1:" << mPeer << "\",\"store\":\"" << mStore
                        << "\",\"store_retention_s\":300,\"store_partitions\":12,"
                           "\"memory_mb\":"
                        << mPlace.mMemoryMb << ",\"link_mbits\":1000.0," << mMore << "\"stop_grace_s\":8}\n";
    const std::string program = std::string(root) + "/target/modules/daemon/sycamoreleverd";
    const std::string settings = "--settings=" + path;
    const std::string log = std::string(temporary) + "/" + mPlace.mInstance + ".log";
    mChild = ::fork();
    if (mChild == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      FILE* out = std::freopen(log.c_str(), "a", stdout);
      FILE* error = std::freopen(log.c_str(), "a", stderr);
      if (out != nullptr && error != nullptr) {
        ::execl(program.c_str(), program.c_str(), settings.c_str(), nullptr);
      }
      ::_exit(127);
    }
    Note("gateway %s starts, pid %d", mPlace.mInstance.c_str(), mChild);
  }

  void Signal(int aSignal)
  {
    Note("gateway %s gets signal %d", mPlace.mInstance.c_str(), aSignal);
    ::kill(mChild, aSignal);
  }

  void Kill()
  {
    Signal(SIGKILL);
    ::waitpid(mChild, nullptr, 0);
    mChild = 0;
  }

  // Stops the process as the platform does: SIGTERM, and SIGKILL after aGrace seconds.
  void Terminate(double aGrace)
  {
    Signal(SIGTERM);
    const double limit = Now() + aGrace;
    while (Now() < limit) {
      if (::waitpid(mChild, nullptr, WNOHANG) == mChild) {
        mChild = 0;
        Note("gateway %s has ended", mPlace.mInstance.c_str());
        return;
      }
      Sleep(0.02);
    }
    Kill();
  }

  // Memory of the process, in MB.
  double ResidentMb() const
  {
    std::ifstream status("/proc/" + std::to_string(mChild) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.rfind("VmRSS:", 0) == 0) {
        return std::atof(line.c_str() + 6) / 1024;
      }
    }
    return 0;
  }

  // Whether the process has ended by itself.
  bool Ended()
  {
    return mChild > 0 && ::waitpid(mChild, nullptr, WNOHANG) == mChild;
  }

  bool Ready() const;

  bool WaitReady(double aSeconds)
  {
    const double limit = Now() + aSeconds;
    while (Now() < limit) {
      if (Ready()) {
        return true;
      }
      if (Ended()) {
        // Another process has taken one of its ports meanwhile.
        Note("gateway %s has ended at its start", mPlace.mInstance.c_str());
        mFront = FreePort();
        mReadiness = FreePort();
        mPeer = FreePort();
        mMetrics = FreePort();
        Start();
      }
      Sleep(0.05);
    }
    return false;
  }

private:
  Place mPlace;
  std::string mStore;
  std::string mMore;
  int mFront;
  int mReadiness;
  int mPeer;
  int mMetrics;
  pid_t mChild = 0;
};

// aSource is the loopback address that the other end sees as the caller's.
inline std::unique_ptr<Connection>
Connect(int aPort, const char* aSource = "127.0.0.1")
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in source = AddressOf(aSource, 0);
  ::bind(socket, reinterpret_cast<const sockaddr*>(&source), sizeof source);
  sockaddr_in address = AddressOf("127.0.0.1", aPort);
  if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    ::close(socket);
    return nullptr;
  }
  return std::make_unique<Connection>(socket);
}

struct Answer
{
  bool mWhole = false; // A complete answer arrived.
  bool mBegun = false; // Its header arrived.
  int mStatus = 0;     // 0 without a header.
  Message mMessage;
};

// Sends a request on a new connection and reads its answer.
inline Answer
Ask(int aPort, const std::string& aRequest, double aSeconds, const char* aSource = "127.0.0.1")
{
  Answer answer;
  const double deadline = Now() + aSeconds;
  const auto connection = Connect(aPort, aSource);
  if (!connection || !connection->Write(aRequest)) {
    return answer;
  }
  answer.mWhole = connection->Read(answer.mMessage, deadline, &answer.mBegun);
  answer.mStatus = answer.mBegun ? answer.mMessage.Status() : 0;
  return answer;
}

inline bool
Gateway::Ready() const
{
  return Ask(mReadiness, "GET /sycamorelever/readyz HTTP/1.1\r\nHost: a\r\n\r\n", 1).mStatus == 200;
}

// A new attempt id.
inline std::string
NextId()
{
  static std::atomic<uint64_t> next{ 1 };
  static const uint64_t seed =
    static_cast<uint64_t>(std::chrono::system_clock::now().time_since_epoch().count()) << 16;
  return Text("%016llx", static_cast<unsigned long long>(seed + next++));
}

}
