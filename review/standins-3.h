#pragma once

// Stand-ins for the cases 11 to 15, without any library: the platform's store, application servers, clients and the processes under test.
// Everything listens on loopback. One thread per connection; blocking sockets.

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/ioctl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

namespace Review
{

using Clock = std::chrono::steady_clock;

inline const Clock::time_point Start = Clock::now();

/// Seconds since the start of the program.
inline double now()
{
    return std::chrono::duration<double>(Clock::now() - Start).count();
}

inline void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// The record of what was sent, answered and run.
class Record
{
public:
    explicit Record(const std::string &path)
        : file_(std::fopen(path.c_str(), "w"))
    {
    }
    template<typename... Args>
    void line(const char *format, Args... args)
    {
        const std::lock_guard lock(mutex_);
        std::fprintf(file_, "%8.3f  ", now());
        std::fprintf(file_, format, args...);
        std::fputc('\n', file_);
        std::fflush(file_);
    }
    void line(const char *text)
    {
        line("%s", text);
    }

private:
    std::FILE *file_;
    std::mutex mutex_;
};

// Sockets and HTTP ----------------------------------------------------------------------------------

inline sockaddr_in addressOf(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// A listening socket at \p port; 0 selects a free one. Returns the socket and the port.
inline std::pair<int, std::uint16_t> listenAt(const std::string &ip, std::uint16_t port = 0)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = addressOf(ip, port);
    if (bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0 || listen(descriptor, 1024) != 0) {
        std::perror("listen");
        std::_Exit(2);
    }
    socklen_t size = sizeof(address);
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    return { descriptor, ntohs(address.sin_port) };
}

inline std::uint16_t freePort(const std::string &ip = "127.0.0.1")
{
    const auto [descriptor, port] = listenAt(ip);
    close(descriptor);
    return port;
}

inline int connectTo(const std::string &ip, std::uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(ip, port);
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        close(descriptor);
        return -1;
    }
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return descriptor;
}

inline bool sendAll(int descriptor, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t count = send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

struct Message {
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(const std::string &name) const
    {
        for (const auto &[key, value] : fields) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    int status() const
    {
        return startLine.size() > 12 ? std::atoi(startLine.c_str() + 9) : 0;
    }
    std::string target() const
    {
        const std::size_t first = startLine.find(' ');
        return startLine.substr(first + 1, startLine.find(' ', first + 1) - first - 1);
    }
};

/// Reads messages from one connection.
class Reader
{
public:
    explicit Reader(int descriptor)
        : descriptor_(descriptor)
    {
    }
    /// Reads more bytes; false at the end of the connection or at \p deadline (seconds as of now(); 0: none).
    bool fill(double deadline = 0)
    {
        if (deadline > 0) {
            pollfd waiting{ .fd = descriptor_, .events = POLLIN, .revents = 0 };
            const int milliseconds = static_cast<int>((deadline - now()) * 1000);
            if (milliseconds <= 0 || poll(&waiting, 1, milliseconds) <= 0) {
                timedOut = true;
                return false;
            }
        }
        char buffer[65536];
        const ssize_t count = recv(descriptor_, buffer, sizeof(buffer), 0);
        if (count <= 0) {
            return false;
        }
        buffer_.append(buffer, static_cast<std::size_t>(count));
        return true;
    }
    /// The next message with a length or in chunks. \p onHead is called once its head is there.
    std::optional<Message> next(double deadline = 0, const std::function<void(const Message &)> &onHead = {})
    {
        std::size_t end;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(deadline)) {
                return std::nullopt;
            }
        }
        Message message;
        std::string head = buffer_.substr(0, end + 2);
        buffer_.erase(0, end + 4);
        std::size_t at = head.find("\r\n");
        message.startLine = head.substr(0, at);
        while (at + 2 < head.size()) {
            const std::size_t next = head.find("\r\n", at + 2);
            const std::string line = head.substr(at + 2, next - at - 2);
            const std::size_t colon = line.find(':');
            message.fields.emplace_back(line.substr(0, colon), line.substr(std::min(line.size(), colon + 2)));
            at = next;
        }
        if (onHead) {
            onHead(message);
        }
        if (!message.field("Transfer-Encoding").empty()) {
            for (;;) {
                std::size_t lineEnd;
                while ((lineEnd = buffer_.find("\r\n")) == std::string::npos) {
                    if (!fill(deadline)) {
                        return std::nullopt;
                    }
                }
                const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
                while (buffer_.size() < lineEnd + 2 + size + 2) {
                    if (!fill(deadline)) {
                        return std::nullopt;
                    }
                }
                message.body.append(buffer_, lineEnd + 2, size);
                buffer_.erase(0, lineEnd + 2 + size + 2);
                if (size == 0) {
                    return message;
                }
            }
        }
        const std::size_t length = std::strtoul(message.field("Content-Length").c_str(), nullptr, 10);
        while (buffer_.size() < length) {
            if (!fill(deadline)) {
                return std::nullopt;
            }
        }
        message.body = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return message;
    }
    bool timedOut = false;

private:
    int descriptor_;
    std::string buffer_;
};

/// Accepts connections and handles each in a thread of its own.
inline std::uint16_t serve(const std::string &ip, std::uint16_t port, std::function<void(int)> handle)
{
    const auto [descriptor, bound] = listenAt(ip, port);
    std::thread([descriptor = descriptor, handle = std::move(handle)] {
        for (;;) {
            const int accepted = accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                return;
            }
            std::thread([accepted, handle] {
                handle(accepted);
                close(accepted);
            }).detach();
        }
    }).detach();
    return bound;
}

// The platform's store ------------------------------------------------------------------------------

/// Objects by kind and name, lists and watches. Specs are JSON texts.
class Store
{
public:
    Store()
        : port_(serve("127.0.0.1", 0, [this](int descriptor) { handle(descriptor); }))
    {
    }
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(port_);
    }
    /// Returns the time of the acknowledgement.
    double put(const std::string &kind, const std::string &name, const std::string &spec)
    {
        const std::lock_guard lock(mutex_);
        ++revision_;
        const std::string text = objectText(name, spec);
        objects_[kind][name] = text;
        events_.push_back({ revision_, kind, "{\"object\":" + text + ",\"deleted\":false}", now() });
        changed_.notify_all();
        return now();
    }
    /// Turns all calls away with 503, also the waiting watches; the operator's writes (put(), remove()) are served.
    void setAway(bool isAway)
    {
        const std::lock_guard lock(mutex_);
        isAway_ = isAway;
        changed_.notify_all();
    }
    /// How often all objects of \p kind were listed.
    int lists(const std::string &kind)
    {
        const std::lock_guard lock(mutex_);
        return lists_[kind];
    }
    double remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(mutex_);
        ++revision_;
        objects_[kind].erase(name);
        events_.push_back({ revision_, kind, "{\"object\":" + objectText(name, "{}") + ",\"deleted\":true}", now() });
        changed_.notify_all();
        return now();
    }

private:
    struct Event {
        std::uint64_t revision;
        std::string kind;
        std::string text;
        double at;
    };
    static constexpr double HistorySeconds = 20;

    std::string objectText(const std::string &name, const std::string &spec) const
    {
        return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(revision_) + ",\"created\":1},\"spec\":" + spec + "}";
    }
    static std::uint64_t parameter(const std::string &target, const std::string &name)
    {
        const std::size_t at = target.find(name + "=");
        return at == std::string::npos ? 0 : std::strtoull(target.c_str() + at + name.size() + 1, nullptr, 10);
    }
    void handle(int descriptor)
    {
        Reader reader(descriptor);
        while (const auto request = reader.next()) {
            sleepFor(0.004);
            const std::string target = request->target();
            const std::string path = target.substr(0, target.find('?'));
            std::string kind = path.substr(std::min(path.size(), std::strlen("/-/objects/")));
            std::string name;
            if (const std::size_t slash = kind.find('/'); slash != std::string::npos) {
                name = kind.substr(slash + 1);
                kind.resize(slash);
            }
            int status = 200;
            std::string body;
            bool isAway = false;
            {
                const std::lock_guard lock(mutex_);
                isAway = isAway_;
            }
            if (isAway || !request->startLine.starts_with("GET")) {
                // The system writes nothing in these cases but what it may lose.
                status = 503;
                body = "{}";
            } else if (target.find("watch=") != std::string::npos) {
                std::tie(status, body) = watch(kind, parameter(target, "watch"), parameter(target, "waitMs"));
            } else {
                const std::lock_guard lock(mutex_);
                if (!name.empty()) {
                    const auto found = objects_[kind].find(name);
                    status = found == objects_[kind].end() ? 404 : 200;
                    body = status == 200 ? found->second : "{}";
                } else {
                    ++lists_[kind];
                    for (const auto &[key, text] : objects_[kind]) {
                        body += (body.empty() ? "" : ",") + text;
                    }
                    body = "{\"items\":[" + body + "],\"hasMore\":false,\"asOf\":" + std::to_string(revision_) + "}";
                }
            }
            const std::string head = "HTTP/1.1 " + std::to_string(status)
                + " X\r\nStore-Era: 1\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
            if (!sendAll(descriptor, head + body)) {
                return;
            }
        }
    }
    std::pair<int, std::string> watch(const std::string &kind, std::uint64_t since, std::uint64_t milliseconds)
    {
        std::unique_lock lock(mutex_);
        const auto end = Clock::now() + std::chrono::milliseconds(milliseconds);
        std::string events;
        for (;;) {
            if (isAway_) {
                return { 503, "{}" };
            }
            while (!events_.empty() && now() - events_.front().at > HistorySeconds) {
                forgotten_ = events_.front().revision;
                events_.erase(events_.begin());
            }
            if (since < forgotten_) {
                return { 410, "{}" };
            }
            for (const Event &event : events_) {
                if (event.revision > since && event.kind == kind) {
                    events += (events.empty() ? "" : ",") + event.text;
                }
            }
            if (!events.empty() || changed_.wait_until(lock, end) == std::cv_status::timeout) {
                return { 200, "{\"events\":[" + events + "],\"asOf\":" + std::to_string(revision_) + "}" };
            }
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 10;
    std::map<std::string, std::map<std::string, std::string>> objects_;
    std::vector<Event> events_;
    std::uint64_t forgotten_ = 0; ///< Revision of the newest event that is no longer kept.
    bool isAway_ = false;
    std::map<std::string, int> lists_;
    std::uint16_t port_;
};

// Servers -------------------------------------------------------------------------------------------

inline std::string fieldsOfAnswer(const Message &request)
{
    return "Carobhall-Request-Id: " + request.field("Carobhall-Request-Id") + "\r\n";
}

/// A complete answer of a server that has run \p request.
inline std::string answer(const Message &request, int status, const std::string &body, const std::string &moreFields = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fieldsOfAnswer(request) + "Carobhall-Server-Seal: seal\r\n" + moreFields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The entry of a server in the list.
inline std::string serverSpec(const std::string &service, const std::string &address, const std::string &more = {})
{
    const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"zagreb-a\",\"version\":\"1\",\"slots\":96,\"state\":\"ready\","
        + "\"coldRemainingMs\":0,\"sequence\":1,\"born\":" + std::to_string(born) + more + "}";
}

// Processes under test ------------------------------------------------------------------------------

/// One process of the system, started with the command of the deploy file. Killed at the end of its life here.
class Node
{
public:
    Node(const std::string &role, const std::string &name, const Store &store, const std::string &directory, int memoryMb, const std::string &ip = "127.0.0.1",
         std::uint16_t peerPort = 0, const std::string &engineAddress = {}, const std::string &engineService = {})
        : role_(role)
        , ip_(ip)
        , port(freePort(ip))
        , readyPort(freePort(ip))
        , settings_(directory + "/" + name + ".json")
        , log_(directory + "/" + name + ".log")
    {
        // The fields of deploy/settings.json.in, with the figures of igla-mreza.
        std::ofstream(settings_) << "{\"name\":\"" << name << "\",\"zone\":\"zagreb-a\",\"ip\":\"" << ip
                                 << "\",\"regions\":{\"zagreb-a\":\"hr-kontinent\"},\"caller_address\":\"" << ip << ":" << port << "\",\"readiness_address\":\""
                                 << ip << ":" << readyPort << "\",\"engine_address\":\"" << engineAddress << "\",\"engine_service\":\"" << engineService
                                 << "\",\"peer_port\":" << (peerPort != 0 ? peerPort : freePort(ip)) << ",\"metrics_port\":0,\"platform_address\":\""
                                 << store.address() << "\",\"stop_grace_s\":8,\"repeat_ratio\":0.2,\"repeat_allowance\":58,\"repeat_window_s\":10,\"memory_mb\":"
                                 << memoryMb << ",\"max_descriptors\":4100,\"drain_ms\":2500,\"weights_deadline_ms\":8000,\"quota_window_s\":8,"
                                 << "\"quota_overshoot\":0,\"quota_slack\":0}";
    }
    ~Node()
    {
        kill();
    }
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    void start()
    {
        process_ = fork();
        if (process_ == 0) {
            // Also if this program is killed from outside.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, 1);
            dup2(log, 2);
            setenv("CAROBHALL_NODE_FILE", settings_.c_str(), 1);
            execl("target/bin/carobhall-node", "target/bin/carobhall-node", role_.c_str(), static_cast<char *>(nullptr));
            _exit(127);
        }
    }
    void signal(int number) const
    {
        if (process_ > 0) {
            ::kill(process_, number);
        }
    }
    void kill()
    {
        if (process_ > 0) {
            ::kill(process_, SIGKILL);
            waitpid(process_, nullptr, 0);
            process_ = -1;
        }
    }
    bool hasEnded()
    {
        return process_ <= 0 || waitpid(process_, nullptr, WNOHANG) == process_;
    }
    /// Waits until the process says that it is ready.
    bool waitUntilReady(double seconds) const
    {
        for (const double end = now() + seconds; now() < end; sleepFor(0.05)) {
            const int descriptor = connectTo(ip_, readyPort);
            if (descriptor < 0) {
                continue;
            }
            sendAll(descriptor, "GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
            const auto response = Reader(descriptor).next(now() + 1);
            close(descriptor);
            if (response && response->status() == 200) {
                return true;
            }
        }
        return false;
    }
    const std::string &ip() const
    {
        return ip_;
    }

private:
    std::string role_;
    std::string ip_;

public:
    std::uint16_t port;
    std::uint16_t readyPort;

private:
    std::string settings_;
    std::string log_;
    pid_t process_ = -1;
};

/// Whether the case runs with its disruption.
inline bool hasTrouble()
{
    const char *const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace Review
