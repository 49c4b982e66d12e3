#pragma once

// Stand-ins of the users' platform for the scripts of the second review, with plain sockets and threads, and helpers to start the project's
// programs. A connection is served by a thread of its own. Everything listens on loopback addresses.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace Review
{

// 1. Time and record ------------------------------------------------------------------------------

using Clock = std::chrono::steady_clock;
inline const Clock::time_point begunAt = Clock::now();

inline double seconds()
{
    return std::chrono::duration<double>(Clock::now() - begunAt).count();
}

inline void sleepSeconds(double time)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(time));
}

/// Writes what was sent, answered and run to record.txt in the folder of the case.
class Record
{
public:
    void open(const std::string &path)
    {
        const std::lock_guard lock(mutex_);
        file_ = std::fopen(path.c_str(), "w");
    }
    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard lock(mutex_);
        std::va_list arguments;
        for (FILE *const out : { file_, stdout }) {
            if (out == nullptr) {
                continue;
            }
            std::fprintf(out, "%8.3f ", seconds());
            va_start(arguments, format);
            std::vfprintf(out, format, arguments);
            va_end(arguments);
            std::fputc('\n', out);
            std::fflush(out);
        }
    }

private:
    std::mutex mutex_;
    FILE *file_ = nullptr;
};

inline Record record;

/// Ends the script with \p code: 0 held, 1 broken, 2 could not run. Kills the processes that it started.
[[noreturn]] void finish(int code);

// 2. Sockets --------------------------------------------------------------------------------------

inline sockaddr_in socketAddress(const std::string &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    const std::size_t colon = address.rfind(':');
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

inline std::string addressText(const sockaddr_in &address)
{
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
    return std::string(text) + ":" + std::to_string(ntohs(address.sin_port));
}

/// Listens on \p ip and \p port (0: a free one); returns the descriptor, -1 if that fails.
inline int listenOn(const std::string &ip, std::uint16_t port, std::string &address)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in local = socketAddress(ip + ":" + std::to_string(port));
    socklen_t size = sizeof(local);
    if (bind(descriptor, reinterpret_cast<sockaddr *>(&local), size) != 0 || listen(descriptor, 1024) != 0) {
        close(descriptor);
        return -1;
    }
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&local), &size);
    address = addressText(local);
    return descriptor;
}

/// A port that is free on all of \p ips.
inline std::uint16_t freePort(const std::vector<std::string> &ips)
{
    for (int attempt = 0; attempt < 100; ++attempt) {
        std::string address;
        const int first = listenOn(ips.front(), 0, address);
        if (first < 0) {
            continue;
        }
        const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
        bool free = true;
        for (std::size_t i = 1; i < ips.size() && free; ++i) {
            const int other = listenOn(ips[i], port, address);
            free = other >= 0;
            if (other >= 0) {
                close(other);
            }
        }
        close(first);
        if (free) {
            return port;
        }
    }
    record.line("no free port");
    finish(2);
}

/// Connects to \p address; -1 if that fails within \p limit seconds.
inline int connectTo(const std::string &address, double limit = 1.0, int receiveBuffer = 0, int segment = 0)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (descriptor < 0) {
        return -1;
    }
    if (receiveBuffer > 0) {
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    }
    if (segment > 0) {
        setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
    }
    const sockaddr_in target = socketAddress(address);
    int result = ::connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target));
    if (result != 0 && errno == EINPROGRESS) {
        pollfd waiting{ .fd = descriptor, .events = POLLOUT, .revents = 0 };
        int error = ETIMEDOUT;
        socklen_t size = sizeof(error);
        if (poll(&waiting, 1, static_cast<int>(limit * 1000)) == 1) {
            getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
        }
        result = error == 0 ? 0 : -1;
    }
    if (result != 0) {
        close(descriptor);
        return -1;
    }
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return descriptor;
}

/// Writes all of \p bytes, waiting for the peer up to \p limit seconds.
inline bool writeAll(int descriptor, const std::string &bytes, double limit = 30.0)
{
    std::size_t sent = 0;
    const double end = seconds() + limit;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0) {
            sent += static_cast<std::size_t>(count);
            continue;
        }
        if (errno != EAGAIN && errno != EINTR) {
            return false;
        }
        pollfd waiting{ .fd = descriptor, .events = POLLOUT, .revents = 0 };
        const double left = end - seconds();
        if (left <= 0 || poll(&waiting, 1, static_cast<int>(left * 1000) + 1) < 0) {
            return false;
        }
    }
    return true;
}

/// Reads once, waiting up to \p limit seconds. 1: bytes were appended, 0: the peer has finished, -1: reset, -2: nothing came.
inline int readSome(int descriptor, std::string &input, double limit)
{
    pollfd waiting{ .fd = descriptor, .events = POLLIN, .revents = 0 };
    const int ready = poll(&waiting, 1, std::max(0, static_cast<int>(limit * 1000)));
    if (ready <= 0) {
        return -2;
    }
    char buffer[16384];
    const ssize_t count = recv(descriptor, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (count > 0) {
        input.append(buffer, static_cast<std::size_t>(count));
        return 1;
    }
    return count == 0 ? 0 : (errno == EAGAIN || errno == EINTR) ? -2 : -1;
}

/// Closes with a reset, as a process that crashes does for unread input.
inline void resetConnection(int descriptor)
{
    const linger now{ .l_onoff = 1, .l_linger = 0 };
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close(descriptor);
}

// 3. HTTP -----------------------------------------------------------------------------------------

inline std::string lower(std::string text)
{
    std::ranges::transform(text, text.begin(), [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
    return text;
}

struct Message {
    std::string start;                         ///< The first line.
    std::map<std::string, std::string> fields; ///< Names in lower case; the last value of a name.
    std::string body;
    bool complete = false; ///< The body has its whole length or its last chunk.

    [[nodiscard]] std::string field(const std::string &name) const
    {
        const auto found = fields.find(lower(name));
        return found == fields.end() ? std::string() : found->second;
    }
    [[nodiscard]] std::string word(int index) const
    {
        std::istringstream words(start);
        std::string result;
        for (int i = 0; i <= index; ++i) {
            words >> result;
        }
        return result;
    }
    [[nodiscard]] int status() const
    {
        return start.starts_with("HTTP/") ? std::atoi(word(1).c_str()) : 0;
    }
};

/// Reads one message from \p descriptor; bytes behind it stay in \p input. `complete` is false if the connection ended or \p end came first.
/// 1: read, 0: the peer finished, -1: reset, -2: time is over.
inline int readMessage(int descriptor, std::string &input, Message &message, double end)
{
    std::size_t headEnd = std::string::npos;
    while ((headEnd = input.find("\r\n\r\n")) == std::string::npos) {
        if (const int got = readSome(descriptor, input, end - seconds()); got != 1 && !(got == -2 && seconds() < end)) {
            return got;
        }
    }
    std::istringstream head(input.substr(0, headEnd + 2));
    input.erase(0, headEnd + 4);
    std::getline(head, message.start);
    while (!message.start.empty() && message.start.back() == '\r') {
        message.start.pop_back();
    }
    for (std::string line; std::getline(head, line);) {
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        std::string value = line.substr(colon + 1);
        value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
        while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) {
            value.pop_back();
        }
        message.fields[lower(line.substr(0, colon))] = value;
    }
    const auto need = [&](std::size_t size) {
        while (input.size() < size) {
            if (const int got = readSome(descriptor, input, end - seconds()); got != 1 && !(got == -2 && seconds() < end)) {
                return got;
            }
        }
        return 1;
    };
    if (lower(message.field("Transfer-Encoding")) == "chunked") {
        for (;;) {
            std::size_t lineEnd = std::string::npos;
            while ((lineEnd = input.find("\r\n")) == std::string::npos) {
                if (const int got = need(input.size() + 1); got != 1) {
                    return got;
                }
            }
            const std::size_t size = std::stoul(input.substr(0, lineEnd), nullptr, 16);
            if (const int got = need(lineEnd + 2 + size + 2); got != 1) {
                return got;
            }
            message.body += input.substr(lineEnd + 2, size);
            input.erase(0, lineEnd + 2 + size + 2);
            if (size == 0) {
                break;
            }
        }
    } else if (const std::string length = message.field("Content-Length"); !length.empty()) {
        const std::size_t size = std::stoul(length);
        if (const int got = need(size); got != 1) {
            return got;
        }
        message.body = input.substr(0, size);
        input.erase(0, size);
    }
    message.complete = true;
    return 1;
}

inline std::string response(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string jsonResponse(int status, const std::string &body, const std::string &fields = {})
{
    return response(status, "Content-Type: application/json\r\n" + fields, body);
}

/// Accepts connections and calls \p serve on a thread for each, with its descriptor and a function that tells whether the server still runs.
class Server
{
public:
    using Serve = std::function<void(int)>;

    bool start(const std::string &ip, std::uint16_t port, Serve serve)
    {
        serve_ = std::move(serve);
        descriptor_ = listenOn(ip, port, address_);
        if (descriptor_ < 0) {
            return false;
        }
        running_ = true;
        accepter_ = std::thread([this] { acceptAll(); });
        return true;
    }
    /// Closes the port and resets all connections, like a crash.
    void crash()
    {
        if (!running_.exchange(false)) {
            return;
        }
        shutdown(descriptor_, SHUT_RDWR);
        accepter_.join();
        close(descriptor_);
        const std::lock_guard lock(mutex_);
        for (const int open : open_) {
            const linger now{ .l_onoff = 1, .l_linger = 0 };
            setsockopt(open, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
            shutdown(open, SHUT_RDWR);
        }
    }
    [[nodiscard]] const std::string &address() const
    {
        return address_;
    }
    [[nodiscard]] bool isRunning() const
    {
        return running_;
    }

private:
    void acceptAll()
    {
        while (running_) {
            pollfd waiting{ .fd = descriptor_, .events = POLLIN, .revents = 0 };
            if (poll(&waiting, 1, 50) <= 0) {
                continue;
            }
            const int accepted = accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                continue;
            }
            const int on = 1;
            setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            {
                const std::lock_guard lock(mutex_);
                open_.insert(accepted);
            }
            std::thread([this, accepted] {
                serve_(accepted);
                {
                    const std::lock_guard lock(mutex_);
                    open_.erase(accepted);
                }
                close(accepted);
            }).detach();
        }
    }

    Serve serve_;
    int descriptor_ = -1;
    std::string address_;
    std::atomic<bool> running_ = false;
    std::thread accepter_;
    std::mutex mutex_;
    std::set<int> open_;
};

// 4. The platform's store -------------------------------------------------------------------------

/// Stand-in of the object store: lists, watches, creation, replacement and removal of objects.
class Store
{
public:
    bool start(const std::string &ip)
    {
        return server_.start(ip, 0, [this](int connection) { serve(connection); });
    }
    [[nodiscard]] const std::string &address() const
    {
        return server_.address();
    }
    void put(const std::string &kind, const std::string &name, const std::string &spec)
    {
        const std::lock_guard lock(mutex_);
        putLocked(kind, name, spec);
    }
    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(mutex_);
        removeLocked(kind, name);
    }

private:
    struct Object {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::string spec;
    };
    struct Event {
        std::uint64_t revision = 0;
        std::string kind;
        std::string text;
    };

    static std::string text(const std::string &name, const Object &object)
    {
        return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(object.revision) + ",\"created\":" + std::to_string(object.created)
            + ",\"finalizers\":[],\"deleting\":false},\"spec\":" + object.spec + ",\"status\":{}}";
    }
    std::string putLocked(const std::string &kind, const std::string &name, const std::string &spec)
    {
        Object &object = objects_[kind][name];
        if (object.spec == spec) {
            return text(name, object);
        }
        object.revision = ++revision_;
        object.created = object.created == 0 ? revision_ : object.created;
        object.spec = spec;
        events_.push_back({ revision_, kind, "{\"object\":" + text(name, object) + ",\"deleted\":false}" });
        changed_.notify_all();
        return text(name, object);
    }
    void removeLocked(const std::string &kind, const std::string &name)
    {
        const auto found = objects_[kind].find(name);
        if (found == objects_[kind].end()) {
            return;
        }
        found->second.revision = ++revision_;
        events_.push_back({ revision_, kind, "{\"object\":" + text(name, found->second) + ",\"deleted\":true}" });
        objects_[kind].erase(found);
        changed_.notify_all();
    }
    static std::string queryValue(const std::string &target, const std::string &name)
    {
        const std::size_t at = target.find(name + "=");
        return at == std::string::npos ? std::string() : target.substr(at + name.size() + 1, target.find('&', at) - at - name.size() - 1);
    }
    /// The value of \p member in the JSON object \p body, by counting brackets.
    static std::string memberText(const std::string &body, const std::string &member)
    {
        std::size_t at = body.find("\"" + member + "\":");
        if (at == std::string::npos) {
            return "{}";
        }
        at += member.size() + 3;
        int depth = 0;
        bool quoted = false;
        for (std::size_t i = at; i < body.size(); ++i) {
            if (body[i] == '"' && body[i - 1] != '\\') {
                quoted = !quoted;
            }
            depth += quoted ? 0 : body[i] == '{' || body[i] == '[' ? 1 : body[i] == '}' || body[i] == ']' ? -1 : 0;
            if (depth == 0) {
                return body.substr(at, i + 1 - at);
            }
        }
        return "{}";
    }
    void serve(int connection)
    {
        std::string input;
        const std::string era = "Store-Era: 1\r\n";
        for (;;) {
            Message request;
            if (readMessage(connection, input, request, seconds() + 300) != 1) {
                return;
            }
            const std::string target = request.word(1);
            const std::string path = target.substr(0, target.find('?'));
            const std::string prefix = "/-/objects/";
            if (!path.starts_with(prefix)) {
                if (!writeAll(connection, jsonResponse(404, "{}", era))) {
                    return;
                }
                continue;
            }
            const std::string rest = path.substr(prefix.size());
            const std::size_t slash = rest.find('/');
            const std::string kind = rest.substr(0, slash);
            const std::string name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
            const std::string method = request.word(0);
            std::string reply;
            std::unique_lock lock(mutex_);
            if (method == "POST") {
                const std::string metadata = memberText(request.body, "metadata");
                const std::size_t at = metadata.find("\"name\":\"") + 8;
                const std::string created = metadata.substr(at, metadata.find('"', at) - at);
                reply = objects_[kind].contains(created) ? jsonResponse(409, text(created, objects_[kind][created]), era)
                                                         : jsonResponse(201, putLocked(kind, created, memberText(request.body, "spec")), era);
            } else if (method == "PUT") {
                reply = jsonResponse(200, putLocked(kind, name, memberText(request.body, "spec")), era);
            } else if (method == "DELETE") {
                removeLocked(kind, name);
                reply = jsonResponse(200, "{}", era);
            } else if (!name.empty()) {
                const auto found = objects_[kind].find(name);
                reply = found == objects_[kind].end() ? jsonResponse(404, "{}", era) : jsonResponse(200, text(name, found->second), era);
            } else if (const std::string since = queryValue(target, "watch"); !since.empty()) {
                const std::uint64_t from = std::stoull(since);
                const auto until = Clock::now() + std::chrono::milliseconds(std::stol("0" + queryValue(target, "waitMs")));
                std::string events;
                for (;;) {
                    for (const Event &event : events_) {
                        if (event.revision > from && event.kind == kind) {
                            events += (events.empty() ? "" : ",") + event.text;
                        }
                    }
                    if (!events.empty() || changed_.wait_until(lock, until) == std::cv_status::timeout) {
                        break;
                    }
                }
                reply = jsonResponse(200, "{\"events\":[" + events + "],\"asOf\":" + std::to_string(revision_) + "}", era);
            } else {
                std::string items;
                for (const auto &[itemName, object] : objects_[kind]) {
                    items += (items.empty() ? "" : ",") + text(itemName, object);
                }
                reply = jsonResponse(200, "{\"items\":[" + items + "],\"hasMore\":false,\"asOf\":" + std::to_string(revision_) + "}", era);
            }
            lock.unlock();
            if (!writeAll(connection, reply)) {
                return;
            }
        }
    }

    Server server_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 1;
    std::map<std::string, std::map<std::string, Object>> objects_;
    std::vector<Event> events_;
};

// 5. The project's programs -----------------------------------------------------------------------

inline std::mutex processMutex;
inline std::set<pid_t> processes; ///< That run and were started here.

/// Starts `target/bin/carobhall-node \p role` in the root of the repository, with \p settings.
inline pid_t startNode(const std::string &role, const std::string &name, const std::string &settings, const std::string &directory)
{
    const std::string path = directory + "/" + name + ".json";
    std::ofstream(path) << settings;
    const std::string log = directory + "/" + name + ".log";
    const std::string variable = "CAROBHALL_NODE_FILE=" + path;
    std::string environmentText = variable;
    std::string pathText = std::string("PATH=") + (std::getenv("PATH") != nullptr ? std::getenv("PATH") : "/usr/bin:/bin");
    char *environment[] = { environmentText.data(), pathText.data(), nullptr };
    std::string program = "target/bin/carobhall-node";
    std::string roleText = role;
    char *arguments[] = { program.data(), roleText.data(), nullptr };
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    pid_t child = 0;
    const int error = posix_spawn(&child, program.c_str(), &actions, nullptr, arguments, environment);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        record.line("cannot start %s: %s", program.c_str(), std::strerror(error));
        finish(2);
    }
    const std::lock_guard lock(processMutex);
    processes.insert(child);
    return child;
}

/// Sends \p signal to \p process and waits until it has ended.
inline void endNode(pid_t process, int signal)
{
    kill(process, signal);
    waitpid(process, nullptr, 0);
    const std::lock_guard lock(processMutex);
    processes.erase(process);
}

/// Whether \p process still runs; sets \p status if it has ended.
inline bool isRunning(pid_t process, int &status)
{
    if (waitpid(process, &status, WNOHANG) == 0) {
        return true;
    }
    const std::lock_guard lock(processMutex);
    processes.erase(process);
    return false;
}

/// Private memory in use (RssAnon) of \p process, in bytes.
inline std::size_t privateMemory(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("RssAnon:")) {
            return std::stoul(line.substr(8)) << 10U;
        }
    }
    return 0;
}

/// Processor time of \p process so far, in seconds.
inline double processorTime(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(std::min(text.rfind(')') + 1, text.size())));
    std::string field;
    double ticks = 0;
    for (int i = 3; i <= 15 && fields >> field; ++i) {
        ticks += i == 14 || i == 15 ? std::stod(field) : 0.0;
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

inline std::string temporaryDirectory;

[[noreturn]] inline void finish(int code)
{
    record.line("exit %d", code);
    {
        const std::lock_guard lock(processMutex);
        for (const pid_t process : processes) {
            kill(process, SIGKILL);
            waitpid(process, nullptr, 0);
        }
    }
    if (!temporaryDirectory.empty() && std::getenv("KEEP") == nullptr) {
        const std::string command = "rm -rf '" + temporaryDirectory + "'";
        (void)!std::system(command.c_str());
    }
    std::fflush(nullptr);
    _exit(code);
}

/// Prepares a script: its folder is the first argument. Ends it after \p limit seconds with exit code 2.
inline void begin(int argc, char **argv, double limit)
{
    signal(SIGPIPE, SIG_IGN);
    record.open(std::string(argc > 1 ? argv[1] : ".") + "/record.txt");
    char pattern[] = "/tmp/review-XXXXXX";
    const char *const made = mkdtemp(pattern);
    if (made == nullptr || access("target/bin/carobhall-node", X_OK) != 0) {
        record.line("target/bin/carobhall-node is missing, or no temporary folder");
        finish(2);
    }
    temporaryDirectory = made;
    std::thread([limit] {
        sleepSeconds(limit);
        record.line("time limit of the script");
        finish(2);
    }).detach();
}

inline bool withTrouble()
{
    const char *const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

struct NodeOptions {
    std::string name;
    std::string ip;
    std::string platform;
    std::uint16_t peerPort = 0;
    std::uint16_t metricsPort = 0;
    std::string caller{};    ///< Gateways.
    std::string readiness{}; ///< Gateways.
    std::string engine{};    ///< Sidecars.
    std::string service{};   ///< Sidecars.
    int memoryMb = 110;
    int descriptors = 4100;
};

/// Settings as deploy/settings.json.in renders them, with the bounds of the Guild's sheet (igla-mreza).
inline std::string settings(const NodeOptions &node)
{
    return "{\"name\":\"" + node.name + "\",\"zone\":\"zagreb-a\",\"ip\":\"" + node.ip + "\",\"regions\":{\"zagreb-a\":\"hr-kontinent\"},\"caller_address\":\""
        + node.caller + "\",\"readiness_address\":\"" + node.readiness + "\",\"engine_address\":\"" + node.engine + "\",\"engine_service\":\"" + node.service
        + "\",\"peer_port\":" + std::to_string(node.peerPort) + ",\"metrics_port\":" + std::to_string(node.metricsPort) + ",\"platform_address\":\""
        + node.platform
        + "\",\"stop_grace_s\":8,\"repeat_ratio\":0.2,\"repeat_allowance\":58,\"repeat_window_s\":10,\"memory_mb\":" + std::to_string(node.memoryMb)
        + ",\"max_descriptors\":" + std::to_string(node.descriptors)
        + ",\"drain_ms\":2500,\"weights_deadline_ms\":8000,\"quota_window_s\":8,\"quota_overshoot\":0,\"quota_slack\":0}";
}

/// Waits until the readiness check of a gateway succeeds.
inline bool waitReady(const std::string &readiness, double limit)
{
    const double end = seconds() + limit;
    while (seconds() < end) {
        if (const int connection = connectTo(readiness); connection >= 0) {
            std::string input;
            Message answer;
            writeAll(connection, "GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
            const bool ready = readMessage(connection, input, answer, seconds() + 1) == 1 && answer.status() == 200;
            close(connection);
            if (ready) {
                return true;
            }
        }
        sleepSeconds(0.1);
    }
    return false;
}

struct Answer {
    int status = 0; ///< 0: none.
    double sentAt = 0;
    double at = 0;
    Message message{};
    int end = 1; ///< See readMessage().
    bool connected = true;
};

/// Sends \p bytes on a new connection and waits for the answer.
inline Answer ask(const std::string &address, const std::string &bytes, double limit)
{
    Answer answer{ .sentAt = seconds() };
    const int connection = connectTo(address);
    if (connection < 0) {
        answer.end = -1;
        answer.connected = false;
        answer.at = seconds();
        return answer;
    }
    std::string input;
    writeAll(connection, bytes);
    answer.end = readMessage(connection, input, answer.message, answer.sentAt + limit);
    answer.at = seconds();
    answer.status = answer.message.complete ? answer.message.status() : 0;
    close(connection);
    return answer;
}

inline std::string hexText(std::uint64_t number)
{
    char text[17] = {};
    std::snprintf(text, sizeof(text), "%08llx", static_cast<unsigned long long>(number));
    return text;
}

} // namespace Review
