#pragma once

// Stand-ins of the platform, its store, servers and clients for the scripts of the review, and the start of the project's own programs.
// Plain POSIX and threads, no library. Each stand-in does what the users' pages allow and nothing else.

#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace Review
{

using SteadyClock = std::chrono::steady_clock;

inline const SteadyClock::time_point StartTime = SteadyClock::now();

inline double seconds()
{
    return std::chrono::duration<double>(SteadyClock::now() - StartTime).count();
}

inline void sleepFor(double time)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(std::max(0.0, time)));
}

inline void sleepUntil(double time)
{
    sleepFor(time - seconds());
}

/// Whether the disruption takes place. TROUBLE=0 leaves it out.
inline bool hasTrouble()
{
    const char *const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// Writes a line with the time to record.txt.
inline void note(const char *format, ...)
{
    static std::mutex mutex;
    static FILE *const file = [] {
        const char *const path = std::getenv("RECORD");
        return std::fopen(path != nullptr ? path : "record.txt", "w");
    }();
    const std::lock_guard lock(mutex);
    std::fprintf(file, "%8.3f ", seconds());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file, format, arguments);
    va_end(arguments);
    std::fputc('\n', file);
    std::fflush(file);
}

inline std::int64_t unixMillis()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

// Sockets -----------------------------------------------------------------------------------------

inline sockaddr_in socketAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

/// A listening socket at "ip:port"; port 0 is replaced by a free one.
inline int listenAt(std::string &address, int receiveBuffer = 0)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (receiveBuffer > 0) {
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    }
    sockaddr_in local = socketAddress(address);
    if (bind(descriptor, reinterpret_cast<sockaddr *>(&local), sizeof(local)) != 0 || listen(descriptor, 512) != 0) {
        std::perror(("listen " + address).c_str());
        std::exit(2);
    }
    socklen_t size = sizeof(local);
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&local), &size);
    address = address.substr(0, address.rfind(':') + 1) + std::to_string(ntohs(local.sin_port));
    return descriptor;
}

inline std::string freePort(const std::string &ip)
{
    std::string address = ip + ":0";
    close(listenAt(address));
    return address;
}

inline std::string portOf(const std::string &address)
{
    return address.substr(address.rfind(':') + 1);
}

inline int connectTo(const std::string &address, int receiveBuffer = 0)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0) {
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    }
    const sockaddr_in target = socketAddress(address);
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0) {
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

// HTTP --------------------------------------------------------------------------------------------

struct HttpHead {
    std::string line;                                        ///< Request line or status line.
    std::vector<std::pair<std::string, std::string>> fields; ///< Names in lower case.

    [[nodiscard]] std::string field(const std::string &name) const
    {
        for (const auto &[key, value] : fields) {
            if (key == name) {
                return value;
            }
        }
        return {};
    }
    [[nodiscard]] std::string word(int index) const
    {
        std::istringstream words(line);
        std::string word;
        for (int i = 0; i <= index; ++i) {
            word.clear();
            words >> word;
        }
        return word;
    }
    [[nodiscard]] std::string path() const
    {
        return word(1);
    }
    [[nodiscard]] int status() const
    {
        return std::atoi(word(1).c_str());
    }
};

/// Reads one head; what follows it stays in \p buffer. Returns false when the connection ends.
inline bool readHead(int descriptor, std::string &buffer, HttpHead &head)
{
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        char bytes[16384];
        const ssize_t count = recv(descriptor, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(count));
    }
    head = {};
    std::istringstream lines(buffer.substr(0, end));
    buffer.erase(0, end + 4);
    std::string line;
    std::getline(lines, head.line);
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        const std::size_t colon = line.find(':');
        std::string name = line.substr(0, colon);
        for (char &c : name) {
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        }
        const std::size_t start = line.find_first_not_of(' ', colon + 1);
        head.fields.emplace_back(name, start == std::string::npos ? std::string() : line.substr(start));
    }
    return true;
}

/// Reads \p size bytes from \p buffer and the connection into \p body.
inline bool readSized(int descriptor, std::string &buffer, std::size_t size, std::string &body)
{
    while (buffer.size() < size) {
        char bytes[65536];
        const ssize_t count = recv(descriptor, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(count));
    }
    body = buffer.substr(0, size);
    buffer.erase(0, size);
    return true;
}

inline std::string jsonAnswer(int status, const std::string &body, const std::string &moreFields = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\n" + moreFields + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

/// Accepts connections and handles each in a thread of its own. Threads run until the process ends.
inline void serve(int listener, std::function<void(int)> onConnection)
{
    std::thread([listener, onConnection] {
        for (;;) {
            const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                return;
            }
            const int on = 1;
            setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread(onConnection, descriptor).detach();
        }
    }).detach();
}

// The platform's store ----------------------------------------------------------------------------

/// Objects by kind and name, lists and watches.
class Store
{
public:
    Store()
    {
        address_ = "127.0.0.1:0";
        serve(listenAt(address_), [this](int descriptor) { onConnection(descriptor); });
    }
    [[nodiscard]] const std::string &address() const
    {
        return address_;
    }
    /// Writes an object. The return is the acknowledgement.
    double put(const std::string &kind, const std::string &name, const std::string &spec)
    {
        const std::lock_guard lock(mutex_);
        ++revision_;
        auto &object = objects_[kind][name];
        object = { spec, revision_, object.created != 0 ? object.created : revision_ };
        events_.push_back({ revision_, kind, json(name, object), false });
        changed_.notify_all();
        return seconds();
    }
    double remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(mutex_);
        ++revision_;
        Object object = objects_[kind][name];
        object.revision = revision_;
        objects_[kind].erase(name);
        events_.push_back({ revision_, kind, json(name, object), true });
        changed_.notify_all();
        return seconds();
    }

private:
    struct Object {
        std::string spec;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct Event {
        std::uint64_t revision = 0;
        std::string kind;
        std::string object;
        bool deleted = false;
    };

    static std::string json(const std::string &name, const Object &object)
    {
        return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(object.revision) + R"(,"created":)" + std::to_string(object.created)
            + R"(,"finalizers":[],"deleting":false},"spec":)" + object.spec + R"(,"status":null})";
    }
    static std::uint64_t queryNumber(const std::string &path, const std::string &name, std::uint64_t fallback)
    {
        const std::size_t at = path.find(name + "=");
        return at == std::string::npos ? fallback : std::strtoull(path.c_str() + at + name.size() + 1, nullptr, 10);
    }
    std::string answer(const HttpHead &head, const std::string &body)
    {
        constexpr const char *Era = "Store-Era: 1\r\n";
        const std::string full = head.path();
        const std::string path = full.substr(0, full.find('?'));
        const std::string prefix = "/-/objects/";
        if (!path.starts_with(prefix)) {
            return jsonAnswer(404, "{}", Era);
        }
        const std::string rest = path.substr(prefix.size());
        const std::string kind = rest.substr(0, rest.find('/'));
        const std::string name = rest.find('/') == std::string::npos ? std::string() : rest.substr(rest.find('/') + 1);
        const std::string method = head.word(0);
        std::unique_lock lock(mutex_);
        if (method == "GET" && full.find("watch=") != std::string::npos) {
            const std::uint64_t since = queryNumber(full, "watch", 0);
            const auto wait = std::chrono::milliseconds(queryNumber(full, "waitMs", 0));
            std::string list;
            const auto collect = [&] {
                list.clear();
                for (const Event &event : events_) {
                    if (event.revision > since && event.kind == kind) {
                        list += (list.empty() ? "" : ",") + std::string(R"({"deleted":)") + (event.deleted ? "true" : "false") + R"(,"object":)" + event.object
                            + "}";
                    }
                }
                return !list.empty();
            };
            changed_.wait_for(lock, wait, collect);
            return jsonAnswer(200, R"({"events":[)" + list + R"(],"asOf":)" + std::to_string(revision_) + "}", Era);
        }
        if (method == "GET" && name.empty()) {
            std::string items;
            for (const auto &[key, object] : objects_[kind]) {
                items += (items.empty() ? "" : ",") + json(key, object);
            }
            return jsonAnswer(200, R"({"items":[)" + items + R"(],"hasMore":false,"asOf":)" + std::to_string(revision_) + "}", Era);
        }
        if (method == "GET") {
            const auto found = objects_[kind].find(name);
            return found == objects_[kind].end() ? jsonAnswer(404, "{}", Era) : jsonAnswer(200, json(name, found->second), Era);
        }
        // The system writes objects of a kind of its own, each as {"metadata":{"name":..},"spec":..}.
        const std::size_t nameAt = body.find(R"("name":")");
        const std::size_t specAt = body.find(R"("spec":)");
        std::string written = name;
        if (written.empty() && nameAt != std::string::npos) {
            written = body.substr(nameAt + 8, body.find('"', nameAt + 8) - nameAt - 8);
        }
        if (method == "DELETE") {
            lock.unlock();
            remove(kind, written);
            return jsonAnswer(200, "{}", Era);
        }
        if (specAt == std::string::npos || written.empty()) {
            return jsonAnswer(400, "{}", Era);
        }
        if (method == "POST" && objects_[kind].contains(written)) {
            return jsonAnswer(409, json(written, objects_[kind][written]), Era);
        }
        lock.unlock();
        put(kind, written, body.substr(specAt + 7, body.rfind('}') - specAt - 7));
        lock.lock();
        return jsonAnswer(200, json(written, objects_[kind][written]), Era);
    }
    void onConnection(int descriptor)
    {
        std::string buffer;
        HttpHead head;
        while (readHead(descriptor, buffer, head)) {
            std::string body;
            const std::string length = head.field("content-length");
            if (!length.empty() && !readSized(descriptor, buffer, std::stoul(length), body)) {
                break;
            }
            sleepFor(0.004); // The sheet's time of an answer.
            if (!sendAll(descriptor, answer(head, body))) {
                break;
            }
        }
        close(descriptor);
    }

    std::string address_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, Object>> objects_;
    std::vector<Event> events_;
    std::uint64_t revision_ = 100;
};

/// A store for the whole case: its threads run until the process ends.
inline Store &startStore()
{
    return *new Store;
}

// The project's own programs ----------------------------------------------------------------------

/// A child process in the repository's root. The destructor kills it by its id.
class Program
{
public:
    Program(std::vector<std::string> words, const std::map<std::string, std::string> &environment, const std::string &logPath)
    {
        std::vector<char *> arguments;
        for (std::string &word : words) {
            arguments.push_back(word.data());
        }
        arguments.push_back(nullptr);
        id_ = fork();
        if (id_ == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // Nothing outlives the case.
            const int log = open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, 1);
            dup2(log, 2);
            for (const auto &[name, value] : environment) {
                setenv(name.c_str(), value.c_str(), 1);
            }
            execv(arguments[0], arguments.data());
            _exit(127);
        }
    }
    ~Program()
    {
        signal(SIGKILL);
        wait();
    }
    Program(const Program &) = delete;
    Program &operator=(const Program &) = delete;
    void signal(int number) const
    {
        if (!ended_) {
            ::kill(id_, number);
        }
    }
    void wait()
    {
        if (!ended_) {
            waitpid(id_, &status_, 0);
            ended_ = true;
        }
    }
    /// Whether the process has ended by now.
    bool hasEnded()
    {
        if (!ended_ && waitpid(id_, &status_, WNOHANG) == id_) {
            ended_ = true;
        }
        return ended_;
    }
    [[nodiscard]] int id() const
    {
        return id_;
    }

private:
    pid_t id_ = 0;
    int status_ = 0;
    bool ended_ = false;
};

/// The words of `run` of a role in the deploy file.
inline std::vector<std::string> runWords(const std::string &role)
{
    std::ifstream file("deploy/system.toml");
    std::string line;
    bool inRole = false;
    while (std::getline(file, line)) {
        if (line.starts_with("[")) {
            inRole = line == "[roles." + role + "]";
        }
        if (inRole && line.starts_with("run = \"")) {
            std::istringstream text(line.substr(7, line.rfind('"') - 7));
            std::vector<std::string> words;
            for (std::string word; text >> word;) {
                words.push_back(word);
            }
            return words;
        }
    }
    std::fprintf(stderr, "no run command for %s\n", role.c_str());
    std::exit(2);
}

struct NodeOptions {
    std::string name{};
    std::string ip = "127.0.0.1";
    std::string callerAddress{};    ///< Of a gateway.
    std::string readinessAddress{}; ///< Of a gateway.
    std::string engineAddress{};    ///< Of a sidecar.
    std::string engineService{};    ///< Of a sidecar.
    std::string peerPort{};
    std::string platformAddress{};
};

/// Starts a role with settings as deploy/settings.json.in renders them for a small deployment.
inline std::unique_ptr<Program> startNode(const std::string &role, const NodeOptions &options, const std::string &directory)
{
    const std::string path = directory + "/" + options.name + ".json";
    std::ofstream(path) << "{\"name\":\"" << options.name << "\",\"zone\":\"bagmati-a\",\"ip\":\"" << options.ip
                        << "\",\"regions\":{\"bagmati-a\":\"bagmati\"},\"caller_address\":\"" << options.callerAddress << "\",\"readiness_address\":\""
                        << options.readinessAddress << "\",\"engine_address\":\"" << options.engineAddress << "\",\"engine_service\":\""
                        << options.engineService << "\",\"peer_port\":" << options.peerPort << ",\"metrics_port\":0,\"platform_address\":\""
                        << options.platformAddress
                        << "\",\"stop_grace_s\":8,\"repeat_ratio\":0.2,\"repeat_allowance\":58,\"repeat_window_s\":10,\"drain_ms\":2500,"
                           "\"weights_deadline_ms\":8000}\n";
    return std::make_unique<Program>(runWords(role), std::map<std::string, std::string>{ { "CAROBHALL_NODE_FILE", path } },
                                     directory + "/" + options.name + ".log");
}

inline int readiness(const std::string &address)
{
    const int descriptor = connectTo(address);
    if (descriptor < 0) {
        return 0;
    }
    sendAll(descriptor, "GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    std::string buffer;
    HttpHead head;
    const int status = readHead(descriptor, buffer, head) ? head.status() : 0;
    close(descriptor);
    return status;
}

inline bool waitReady(const std::string &address, double limit = 10.0)
{
    for (const double end = seconds() + limit; seconds() < end; sleepFor(0.1)) {
        if (readiness(address) == 200) {
            return true;
        }
    }
    return false;
}

/// Runs a case and ends the process without joining the threads of the stand-ins.
[[noreturn]] inline void runCase(const std::function<int()> &run)
{
    std::thread([] {
        sleepFor(110.0);
        note("the case took too long");
        std::_Exit(2);
    }).detach();
    const int result = run();
    std::fflush(nullptr);
    std::_Exit(result);
}

/// A temporary folder, removed at the end.
class Folder
{
public:
    Folder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "carobhall-review-XXXXXX").string();
        path_ = mkdtemp(pattern.data());
    }
    ~Folder()
    {
        std::error_code ignored;
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(path_, ignored);
        } else {
            std::fprintf(stderr, "kept %s\n", path_.c_str());
        }
    }
    [[nodiscard]] const std::string &path() const
    {
        return path_;
    }

private:
    std::string path_;
};

struct RouteText {
    std::string name;
    std::string prefix;
    std::string service;
    std::string kind;
    std::string more = R"("maxAttempts":1,"authExempt":false,"sessionAffinity":false)";
    int timeoutMs = 15000;
};

inline std::string routeJson(const RouteText &route)
{
    return R"({"name":")" + route.name + R"(","host":"desk.example","pathPrefix":")" + route.prefix + R"(","kind":")" + route.kind + R"(","timeoutMs":)"
        + std::to_string(route.timeoutMs) + R"(,"targetLatencyMs":1000,"priority":1,"service":")" + route.service + R"(",)" + route.more + "}";
}

inline std::string configJson(int version, const std::string &routes, const std::string &services, const std::string &tenants)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes + R"(],"services":[)" + services
        + R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[)" + tenants + "]}";
}

inline std::string serverJson(const std::string &service, const std::string &address, int slots, const std::string &more = {})
{
    return R"({"service":")" + service + R"(","address":")" + address + R"(","zone":"bagmati-a","version":"v1","slots":)" + std::to_string(slots)
        + R"(,"state":"ready","coldRemainingMs":0,"sequence":4,"born":)" + std::to_string(unixMillis()) + more + "}";
}

} // namespace Review
