// Stand-ins and helpers for the scripts of this review: the platform's row
// store, application instances, clients, and nodes as separate processes. All
// of them use loopback addresses and the real clock.
#ifndef REVIEW_STANDINS_2_STANDINS_H
#define REVIEW_STANDINS_2_STANDINS_H

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

namespace standins {

using json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline Clock::time_point Start() {
  static const Clock::time_point start = Clock::now();
  return start;
}
inline double Now() {
  return std::chrono::duration<double>(Clock::now() - Start()).count();
}
inline void Sleep(double seconds) {
  if (seconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  }
}

/// Ends the script: the case couldn't run.
[[noreturn]] void CannotRun(const std::string& why);

/// The record of what was sent, answered and run.
struct Record {
  std::mutex mutex;
  std::ofstream file;
  void Line(const std::string& text) {
    const std::lock_guard lock(this->mutex);
    char at[32];
    std::snprintf(at, sizeof(at), "%9.3f  ", Now());
    this->file << at << text << "\n" << std::flush;
  }
};
inline Record& TheRecord() {
  static Record record;
  return record;
}
inline void Log(const std::string& text) { TheRecord().Line(text); }

inline bool WithTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// Sockets and HTTP.

inline sockaddr_in Address(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// Free ports in ascending order, below those that outgoing connections get.
inline std::vector<int> FreePorts(std::size_t count) {
  constexpr int kFirst = 12000;
  constexpr int kLast = 31000;
  std::vector<int> ports;
  int port = kFirst + static_cast<int>(
                          (static_cast<unsigned>(::getpid()) * 7919U +
                           static_cast<unsigned>(::time(nullptr))) %
                          static_cast<unsigned>(kLast - kFirst - 1000));
  while (ports.size() < count) {
    if (++port >= kLast) {
      CannotRun("no free port");
    }
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Address(port);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&address),
               sizeof(address)) == 0) {
      ports.push_back(port);
    }
    ::close(fd);
  }
  return ports;
}

/// One connection with buffered reading.
struct Connection {
  int fd = -1;
  std::string input;
  explicit Connection(int descriptor) : fd(descriptor) {}
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() {
    if (this->fd >= 0) {
      ::close(this->fd);
    }
  }
  bool Write(const std::string& text) const {
    std::size_t done = 0;
    while (done < text.size()) {
      const auto size = ::send(this->fd, text.data() + done, text.size() - done,
                               MSG_NOSIGNAL);
      if (size <= 0) {
        return false;
      }
      done += static_cast<std::size_t>(size);
    }
    return true;
  }
  /// Reads more input. Returns false at the end or after `seconds`.
  bool Read(double seconds) {
    pollfd state{this->fd, POLLIN, 0};
    if (::poll(&state, 1, static_cast<int>(seconds * 1000)) <= 0) {
      return false;
    }
    char buffer[16384];
    const auto size = ::recv(this->fd, buffer, sizeof(buffer), 0);
    if (size <= 0) {
      return false;
    }
    this->input.append(buffer, static_cast<std::size_t>(size));
    return true;
  }
};

inline std::unique_ptr<Connection> Connect(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Address(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    ::close(fd);
    return nullptr;
  }
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return std::make_unique<Connection>(fd);
}

struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;
};

inline std::string Lower(std::string text) {
  std::ranges::transform(text, text.begin(), [](unsigned char letter) {
    return static_cast<char>(std::tolower(letter));
  });
  return text;
}

/// Reads a message with a length. Returns nothing if the connection ends
/// before the message does, or after `seconds` without input.
inline std::optional<Message> ReadMessage(Connection& connection,
                                          double seconds) {
  std::size_t end = 0;
  while ((end = connection.input.find("\r\n\r\n")) == std::string::npos) {
    if (!connection.Read(seconds)) {
      return std::nullopt;
    }
  }
  Message message;
  std::istringstream head(connection.input.substr(0, end));
  connection.input.erase(0, end + 4);
  std::string line;
  std::getline(head, message.first_line);
  if (!message.first_line.empty() && message.first_line.back() == '\r') {
    message.first_line.pop_back();
  }
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
      const auto value = line.find_first_not_of(' ', colon + 1);
      message.headers[Lower(line.substr(0, colon))] =
          value == std::string::npos ? "" : line.substr(value);
    }
  }
  const auto length = message.headers.find("content-length");
  const std::size_t size =
      length == message.headers.end() ? 0 : std::stoul(length->second);
  while (connection.input.size() < size) {
    if (!connection.Read(seconds)) {
      return std::nullopt;
    }
  }
  message.body = connection.input.substr(0, size);
  connection.input.erase(0, size);
  return message;
}

inline std::string Answer(int status,
                          const std::string& headers,
                          const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections and serves each in a thread of its own.
struct Server {
  int port = 0;
  int fd = -1;
  void Listen(int wanted_port,
              std::function<void(std::unique_ptr<Connection>)> serve) {
    this->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(this->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    sockaddr_in address = Address(wanted_port);
    socklen_t size = sizeof(address);
    if (::bind(this->fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        ::listen(this->fd, 128) != 0 ||
        ::getsockname(this->fd, reinterpret_cast<sockaddr*>(&address), &size) !=
            0) {
      CannotRun("a stand-in cannot listen");
    }
    this->port = ntohs(address.sin_port);
    std::thread([listener = this->fd, serve] {
      while (true) {
        const int accepted =
            ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
          return;
        }
        const int nodelay = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &nodelay,
                     sizeof(nodelay));
        std::thread([serve, accepted] {
          serve(std::make_unique<Connection>(accepted));
        }).detach();
      }
    }).detach();
  }
};

// The platform's row store.

inline std::string EncodeBase64(const std::string& data) {
  static const char* const kLetters =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < data.size(); i += 3) {
    unsigned value = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      value = value << 8U |
              (i + j < data.size() ? static_cast<unsigned char>(data[i + j])
                                   : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j <= data.size() ? kLetters[value >> (18 - 6 * j) & 63U]
                                   : '=';
    }
  }
  return text;
}

struct Store {
  using Name = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
  };
  std::mutex mutex;
  std::condition_variable changed;
  std::map<Name, Row> rows;
  std::uint64_t version = 1;

  /// The path of one machine to the store, with an address of its own.
  struct Path {
    Server server;
    std::mutex mutex;
    bool cut = false;
    std::vector<std::weak_ptr<Connection>> connections;
    /// When changes of the tables of the system were last asked for without a
    /// wait.
    std::atomic<double> read_at = 0;
  };
  std::vector<std::unique_ptr<Path>> paths;

  /// Opens a path and returns its number.
  std::size_t AddPath(int port) {
    Path& path = *this->paths.emplace_back(std::make_unique<Path>());
    path.server.Listen(port, [this, &path](std::unique_ptr<Connection> own) {
      const std::shared_ptr<Connection> connection = std::move(own);
      {
        const std::lock_guard lock(path.mutex);
        if (path.cut) {
          Reset(*connection);
          return;
        }
        path.connections.push_back(connection);
      }
      while (const auto call = ReadMessage(*connection, 600)) {
        const std::string& line = call->first_line;
        if (line.find("/api/rows-feed?") != std::string::npos &&
            line.find("table=op&") == std::string::npos &&
            line.find("wait_ms=0") != std::string::npos) {
          path.read_at = Now();
        }
        const auto [status, body] = this->Handle(*call);
        if (!connection->Write(Answer(status,
                                      "Content-Type: application/json\r\n",
                                      body.dump()))) {
          return;
        }
      }
    });
    return this->paths.size() - 1;
  }
  static void Reset(const Connection& connection) {
    const linger hard{1, 0};
    ::setsockopt(connection.fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    ::shutdown(connection.fd, SHUT_RDWR);
  }
  /// Refuses all connections on the path, or serves them again.
  void SetCut(std::size_t number, bool cut) {
    Path& path = *this->paths[number];
    const std::lock_guard lock(path.mutex);
    path.cut = cut;
    for (const auto& weak : path.connections) {
      if (const auto connection = weak.lock()) {
        Reset(*connection);
      }
    }
    path.connections.clear();
  }
  void Remove(const std::string& key) {
    const std::lock_guard lock(this->mutex);
    this->rows[{"op", "", key}] = {"", ++this->version, true};
    this->changed.notify_all();
  }
  /// Writes a row of the operator; returns when it is acknowledged.
  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(this->mutex);
    this->rows[{"op", "", key}] = {EncodeBase64(value), ++this->version, false};
    this->changed.notify_all();
  }

  json State() const { return {{"ver", this->version}, {"now_s", 100 + Now()}}; }
  static json RowJson(const Name& name, const Row& row) {
    json value = {{"table", std::get<0>(name)},
                  {"part", std::get<1>(name)},
                  {"key", std::get<2>(name)},
                  {"ver", row.version}};
    if (row.removed) {
      value["removed"] = true;
    } else {
      value["value"] = row.value;
    }
    return value;
  }
  static Name NameOf(const json& row) {
    return {row.at("table"), row.at("part"), row.at("key")};
  }
  static std::string Decode(const std::string& text) {
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr,
                                               16));
        i += 2;
      } else {
        decoded += text[i];
      }
    }
    return decoded;
  }
  std::pair<int, json> Handle(const Message& call) {
    std::istringstream line(call.first_line);
    std::string method;
    std::string target;
    line >> method >> target;
    const std::string path = target.substr(0, target.find('?'));
    std::map<std::string, std::string> query;
    if (target.size() > path.size()) {
      std::istringstream parts(target.substr(path.size() + 1));
      std::string part;
      while (std::getline(parts, part, '&')) {
        const auto equals = part.find('=');
        query[part.substr(0, equals)] = Decode(part.substr(equals + 1));
      }
    }
    std::unique_lock lock(this->mutex);
    if (path == "/api/rows-tx") {
      return this->Transact(json::parse(call.body));
    }
    if (path == "/api/rows-get") {
      json body = this->State();
      body["rows"] = json::array();
      body["has_more"] = false;
      for (const auto& [name, row] : this->rows) {
        if (std::get<0>(name) == query["table"] &&
            std::get<1>(name) == query["part"] &&
            std::get<2>(name) >= query["from"] && !row.removed) {
          body["rows"].push_back(RowJson(name, row));
        }
      }
      return {200, body};
    }
    if (path == "/api/rows-feed") {
      const std::uint64_t after = std::stoull(query["after"]);
      const auto end =
          Clock::now() + std::chrono::milliseconds(std::stoi(query["wait_ms"]));
      while (true) {
        std::vector<std::pair<std::uint64_t, json>> found;
        for (const auto& [name, row] : this->rows) {
          if (std::get<0>(name) == query["table"] && row.version > after) {
            found.emplace_back(row.version, RowJson(name, row));
          }
        }
        if (!found.empty() || Clock::now() >= end) {
          std::ranges::stable_sort(found, {}, [](const auto& item) {
            return item.first;
          });
          json body = this->State();
          body["rows"] = json::array();
          for (auto& item : found) {
            body["rows"].push_back(std::move(item.second));
          }
          return {200, body};
        }
        this->changed.wait_until(lock, end);
      }
    }
    return {404, json::object()};
  }
  std::pair<int, json> Transact(const json& call) {
    json current = json::array();
    bool holds = true;
    for (const json& condition : call.at("expect")) {
      const auto found = this->rows.find(NameOf(condition));
      const bool exists =
          found != this->rows.end() && !found->second.removed;
      holds = holds && condition.at("ver").get<std::uint64_t>() ==
                           (exists ? found->second.version : 0);
      if (exists) {
        current.push_back(RowJson(found->first, found->second));
      }
    }
    if (!holds) {
      json body = this->State();
      body["rows"] = current;
      return {412, body};
    }
    ++this->version;
    for (const json& write : call.at("writes")) {
      this->rows[NameOf(write)] = {write.at("value"), this->version, false};
    }
    for (const json& removal : call.at("delete")) {
      this->rows[NameOf(removal)] = {"", this->version, true};
    }
    this->changed.notify_all();
    return {200, this->State()};
  }
};

// Application instances.

struct Run {
  double at = 0;
  std::string instance;
  std::string request;
  std::string line;
};

/// Runs of all instances.
struct Runs {
  std::mutex mutex;
  std::vector<Run> all;
};
inline Runs& TheRuns() {
  static Runs runs;
  return runs;
}

struct Instance {
  std::string id;
  std::string service;
  std::string zone;
  int port = 0;
  int reports_port = 0;
  std::int64_t born = 0;
  std::atomic<std::uint64_t> sequence = 0;
  std::atomic<bool> draining = false;
  std::atomic<bool> up = true;
  Server server;
  std::mutex mutex;
  std::vector<std::weak_ptr<Connection>> connections;

  static std::int64_t UnixMilliseconds() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  }

  void Serve() {
    this->born = UnixMilliseconds();
    this->server.Listen(this->port, [this](std::unique_ptr<Connection> own) {
      const std::shared_ptr<Connection> connection = std::move(own);
      {
        const std::lock_guard lock(this->mutex);
        this->connections.push_back(connection);
      }
      while (const auto request = ReadMessage(*connection, 600)) {
        if (!this->up || !connection->Write(this->Handle(*request))) {
          return;
        }
      }
    });
  }

  std::string Handle(const Message& request) {
    const auto header = [&request](const char* name) {
      const auto found = request.headers.find(name);
      return found == request.headers.end() ? std::string{} : found->second;
    };
    const std::string request_id = header("request-id");
    const std::string expected = header("expected-instance");
    const std::string echo = "Request-Id: " + request_id + "\r\n";
    if (!expected.empty() && expected != this->id) {
      return Answer(421, echo + "Instance-Id: " + this->id + "\r\n", "");
    }
    {
      const std::lock_guard lock(TheRuns().mutex);
      TheRuns().all.push_back(
          {Now(), this->id, request_id, request.first_line});
    }
    Log(this->id + " runs " + request_id + " (" + request.first_line + ")");
    Sleep(0.01);
    return Answer(200,
                  echo + "Server-Signature: " + this->id + "\r\n" +
                      "Instance-Load: 1,0,9\r\n",
                  "by " + this->id + " for " + request_id);
  }

  /// Sends one heartbeat. Returns the status of its answer, or 0.
  int Beat() {
    json status = {{"phase", this->draining ? "draining" : "ready"},
                   {"sequence", ++this->sequence},
                   {"cold_remaining_s", 0}};
    json body = {{"address", "127.0.0.1:" + std::to_string(this->port)},
                 {"born", this->born},
                 {"info",
                  {{"service", this->service},
                   {"version", "v1"},
                   {"zone", this->zone},
                   {"capacity", 9}}},
                 {"status", status}};
    const std::string text = body.dump();
    const auto connection = Connect(this->reports_port);
    if (!connection ||
        !connection->Write("POST /api/rpc?call=instances.heartbeat&of=" +
                           this->id +
                           " HTTP/1.1\r\nHost: daemon\r\nContent-Type: "
                           "application/json\r\nContent-Length: " +
                           std::to_string(text.size()) + "\r\n\r\n" + text)) {
      return 0;
    }
    const auto answer = ReadMessage(*connection, 1);
    return answer ? std::stoi(answer->first_line.substr(9, 3)) : 0;
  }

  void StartBeats(double interval) {
    std::thread([this, interval] {
      while (true) {
        if (this->up) {
          this->Beat();
        }
        Sleep(interval);
      }
    }).detach();
  }

  /// Ends the instance: its connections are closed, and new ones too.
  void Crash() {
    this->up = false;
    const std::lock_guard lock(this->mutex);
    for (const auto& weak : this->connections) {
      if (const auto connection = weak.lock()) {
        ::shutdown(connection->fd, SHUT_RDWR);
      }
    }
    this->connections.clear();
  }
};

// Nodes as processes, with the command of the deploy file.

struct Node {
  std::string name;
  std::string service;
  std::string zone;
  int callers = 0;
  int peers = 0;
  int readiness = 0;
  int reports = 0;
  int store_port = 0;
  pid_t process = -1;
  Instance instance;
  std::string settings_file;

  void Signal(int signal) const {
    if (this->process > 0) {
      ::kill(this->process, signal);
    }
  }
  void Kill() {
    if (this->process > 0) {
      ::kill(this->process, SIGCONT);
      ::kill(this->process, SIGKILL);
      ::waitpid(this->process, nullptr, 0);
      this->process = -1;
    }
  }
};

struct Site {
  Store store;
  std::vector<std::unique_ptr<Node>> nodes;
  std::string folder;
  std::string program;

  ~Site() { this->End(); }
  void End() {
    for (const auto& node : this->nodes) {
      node->Kill();
    }
    if (!this->folder.empty()) {
      for (const auto& node : this->nodes) {
        ::unlink(node->settings_file.c_str());
      }
      ::rmdir(this->folder.c_str());
      this->folder.clear();
    }
  }

  /// Adds a machine: a node and its instance. Zones whose names begin alike
  /// are in one region.
  void Add(const std::string& service, const std::string& zone) {
    auto node = std::make_unique<Node>();
    node->service = service;
    node->zone = zone;
    node->name = "side-" + zone + "-" + std::to_string(this->nodes.size());
    node->instance.id = "i-" + std::to_string(this->nodes.size());
    node->instance.service = service;
    node->instance.zone = zone;
    this->nodes.push_back(std::move(node));
  }

  void Begin(const std::string& first_config) {
    this->store.Put("config", first_config);
    char name[] = "/tmp/review-XXXXXX";
    if (::mkdtemp(name) == nullptr) {
      CannotRun("no temporary folder");
    }
    this->folder = name;
    // Machines that were added first have lower addresses.
    const auto ports = FreePorts(this->nodes.size() * 6);
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      Node& node = *this->nodes[i];
      const std::size_t count = this->nodes.size();
      node.peers = ports[i];
      node.callers = ports[count + i];
      node.readiness = ports[2 * count + i];
      node.reports = ports[3 * count + i];
      node.instance.port = ports[4 * count + i];
      node.instance.reports_port = node.reports;
      this->store.AddPath(ports[5 * count + i]);
      node.store_port = ports[5 * count + i];
      node.instance.Serve();
      this->StartNode(node);
      node.instance.StartBeats(0.5);
    }
    const double latest = Now() + 20;
    for (const auto& node : this->nodes) {
      while (!IsReady(*node)) {
        if (Now() > latest) {
          CannotRun(node->name + " does not become ready");
        }
        Sleep(0.1);
      }
    }
    // Time in which the nodes learn of each other.
    Sleep(2);
    Log("all nodes are ready");
  }

  void StartNode(Node& node) {
    node.settings_file = this->folder + "/" + node.name + ".yaml";
    const auto address = [](int port) {
      return "\"127.0.0.1:" + std::to_string(port) + "\"";
    };
    std::ofstream file(node.settings_file);
    file << "name: " << node.name << "\ndata_centre: " << node.zone
         << "\nregion: " << node.zone.substr(0, 1)
         << "\ndata_centres: {\"a1\": \"a\", \"a2\": \"a\", \"b1\": \"b\"}"
         << "\ncallers: " << address(node.callers)
         << "\npeers: " << address(node.peers)
         << "\nreadiness: " << address(node.readiness)
         << "\nreports: " << address(node.reports)
         << "\ntarget_address: " << address(node.instance.port)
         << "\nservice: " << node.service
         << "\nstore_address: " << address(node.store_port)
         << "\nmax_descriptors: 4100\nlink_mbps: 1000.0\nlearned_capacity: off"
            "\nfirst_start: true\ngrace_seconds: 6\nretry_ratio: 0.2"
            "\nretry_extra: 62\nretry_window_seconds: 10"
            "\nlongest_hold_seconds: 10\n";
    file.close();
    const std::string setting =
        "EELGRASSBRIDGE_SETTINGS=" + node.settings_file;
    const pid_t parent = ::getpid();
    const pid_t child = ::fork();
    if (child == 0) {
      // The node ends with the script, however that ends.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent) {
        ::_exit(1);
      }
      const int null = ::open("/dev/null", O_RDWR);
      ::dup2(null, 1);
      ::dup2(null, 2);
      const char* const path = std::getenv("PATH");
      const std::string path_setting =
          std::string("PATH=") + (path == nullptr ? "" : path);
      char* const arguments[] = {const_cast<char*>(this->program.c_str()),
                                 const_cast<char*>("node"), nullptr};
      char* const environment[] = {const_cast<char*>(setting.c_str()),
                                   const_cast<char*>(path_setting.c_str()),
                                   nullptr};
      ::execve(this->program.c_str(), arguments, environment);
      ::_exit(127);
    }
    node.process = child;
  }

  static bool IsReady(const Node& node) {
    const auto connection = Connect(node.readiness);
    if (!connection ||
        !connection->Write("GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")) {
      return false;
    }
    const auto answer = ReadMessage(*connection, 1);
    return answer && answer->first_line.find(" 200 ") != std::string::npos;
  }
};

inline Site*& TheSite() {
  static Site* site = nullptr;
  return site;
}

[[noreturn]] inline void CannotRun(const std::string& why) {
  Log("cannot run: " + why);
  if (TheSite() != nullptr) {
    TheSite()->End();
  }
  std::fflush(nullptr);
  std::_Exit(2);
}

/// Ends all processes and the script: 1 if the rule was broken, else 0.
[[noreturn]] inline void Finish(bool broken, const std::string& summary) {
  Log(summary);
  Log(broken ? "RULE BROKEN" : "RULE HELD");
  std::printf("%s\n%s\n", summary.c_str(),
              broken ? "RULE BROKEN" : "RULE HELD");
  if (TheSite() != nullptr) {
    TheSite()->End();
  }
  std::fflush(nullptr);
  std::_Exit(broken ? 1 : 0);
}

// Clients.

struct Reply {
  /// 0: the connection ended without a whole answer.
  int status = 0;
  std::string body;
  double sent_at = 0;
};

/// Sends a request without a body on a connection of its own.
inline Reply Ask(int port,
                 const std::string& method,
                 const std::string& path,
                 const std::string& request_id,
                 int deadline_ms = 2000) {
  Reply reply;
  reply.sent_at = Now();
  const auto connection = Connect(port);
  if (!connection ||
      !connection->Write(method + " " + path +
                         " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " +
                         request_id + "\r\nDeadline-Ms: " +
                         std::to_string(deadline_ms) +
                         "\r\nContent-Length: 0\r\n\r\n")) {
    Log("client " + request_id + " " + method + " " + path + " -> not sent");
    return reply;
  }
  if (const auto answer = ReadMessage(*connection, deadline_ms / 1000.0 + 1)) {
    reply.status = std::stoi(answer->first_line.substr(9, 3));
    reply.body = answer->body;
  }
  Log("client " + request_id + " " + method + " " + path + " -> " +
      std::to_string(reply.status));
  return reply;
}

/// Opens the record, checks the arguments (the node's program and the record)
/// and names the site that is ended with the script.
inline void Prepare(Site& site, int count, char** arguments) {
  ::signal(SIGPIPE, SIG_IGN);
  if (count != 3) {
    std::fprintf(stderr, "usage: %s PROGRAM RECORD\n", arguments[0]);
    std::_Exit(2);
  }
  Start();
  TheSite() = &site;
  site.program = arguments[1];
  TheRecord().file.open(arguments[2], std::ios::trunc);
  Log(WithTrouble() ? "with the disruption" : "without the disruption");
}

/// A configuration; each route is a list of values of the columns below.
inline std::string Config(int version,
                          const json& routes,
                          const std::vector<std::string>& services) {
  json service_rows = json::array();
  for (const std::string& service : services) {
    service_rows.push_back({service, "/healthz", 74, 8.8});
  }
  const json columns = {"name",     "host",         "prefix",
                        "type",     "timeout_s",    "target_latency_s",
                        "priority", "max_attempts", "service"};
  const json service_columns = {"name", "health_path", "max_connections",
                                "cold_per_s"};
  return json{{"version", version},
              {"routes", {{"columns", columns}, {"rows", routes}}},
              {"services", {{"columns", service_columns},
                            {"rows", service_rows}}},
              {"limits",
               {{"max_header_bytes", 16384},
                {"max_body_bytes", 4194304},
                {"header_timeout_s", 3},
                {"idle_timeout_s", 15}}}}
      .dump();
}

inline json Route(const std::string& name,
                  const std::string& prefix,
                  const std::string& type,
                  const std::string& service) {
  return {name, "h.example", prefix, type, 2, 0.8, 1, 3, service};
}

}  // namespace standins

#endif  // REVIEW_STANDINS_2_STANDINS_H
