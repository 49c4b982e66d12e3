#include "programs.h"

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <random>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ; // NOLINT(readability-redundant-declaration): the C library declares it only as an extension.

namespace Carobhall::Testing
{

namespace
{

constexpr std::size_t SeedCount = 4;

std::string program(const std::string &name)
{
    const char *const directory = std::getenv("CAROBHALL_BIN");
    if (directory == nullptr) {
        g_error("CAROBHALL_BIN is not set");
    }
    return std::string(directory) + "/" + name;
}

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

bool canBind(std::uint16_t port, int type)
{
    const int descriptor = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    const bool bound = bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
    close(descriptor);
    return bound;
}

std::string addressOf(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

// Program -----------------------------------------------------------------------------------------

Program::Program(const std::vector<std::string> &command, const std::filesystem::path &logFile)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &argument : command) {
        arguments.push_back(const_cast<char *>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int failed = posix_spawn(&pid_, arguments.front(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        g_error("failed to start %s", arguments.front());
    }
}

Program::~Program()
{
    kill();
}

void Program::signal(int number) const
{
    if (pid_ != 0) {
        ::kill(pid_, number);
    }
}

void Program::kill()
{
    if (pid_ != 0) {
        ::kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        pid_ = 0;
    }
}

bool Program::hasExited()
{
    if (pid_ != 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
        pid_ = 0;
    }
    return pid_ == 0;
}

std::uint16_t freePort()
{
    constexpr std::uint16_t first = 20'000;
    constexpr std::uint16_t count = 12'000;
    static std::mt19937 generator(static_cast<unsigned>(getpid()));
    static std::set<std::uint16_t> assigned;
    for (;;) {
        const auto port = static_cast<std::uint16_t>(first + generator() % count);
        if (!assigned.contains(port) && canBind(port, SOCK_STREAM) && canBind(port, SOCK_DGRAM)) {
            assigned.insert(port);
            return port;
        }
    }
}

// Site --------------------------------------------------------------------------------------------

Site::Site(SiteOptions siteOptions)
    : options(std::move(siteOptions))
{
    std::string pattern = (std::filesystem::temp_directory_path() / "carobhall-test-XXXXXX").string();
    directory = mkdtemp(pattern.data());
    // Each site has its own fleet key, so that sites of tests that run concurrently cannot join each other through a reused port.
    fleetKey_ = toHex(drawIncarnation()) + toHex(drawIncarnation()) + toHex(drawIncarnation()) + toHex(drawIncarnation());
    platformPort = freePort();
    const std::size_t engineCount = options.sharedEngines > 0 ? options.sharedEngines : options.engines;
    for (std::size_t i = 0; i < options.engines; ++i) {
        agentWirePorts.push_back(freePort());
        agentAdminPorts.push_back(freePort());
    }
    for (std::size_t i = 0; i < engineCount; ++i) {
        enginePorts.push_back(freePort());
    }
    for (std::size_t i = 0; i < options.entries; ++i) {
        entryWirePorts.push_back(freePort());
        entryAdminPorts.push_back(freePort());
        callerPorts.push_back(freePort());
    }
    engines.resize(engineCount);
    agents.resize(options.engines);
    entries.resize(options.entries);
    writeFile("document.json", documentText(0));
    if (options.platform) {
        startPlatform();
        writeDocument(0);
    }
    for (std::size_t i = 0; i < engineCount; ++i) {
        startEngine(i);
    }
    for (std::size_t i = 0; i < options.engines; ++i) {
        startAgent(i);
    }
    for (std::size_t i = 0; i < options.entries; ++i) {
        startEntry(i);
    }
}

Site::~Site()
{
    entries.clear();
    agents.clear();
    engines.clear();
    platform.reset();
    if (std::getenv("KEEP_TEST_FILES") == nullptr) {
        std::filesystem::remove_all(directory);
    }
}

std::string Site::documentText(std::size_t accounts) const
{
    auto document = parseJson(testDocument().text).value();
    document["modelServers"].clear();
    for (std::size_t i = 0; i < options.engines; ++i) {
        Json::Value server(Json::objectValue);
        server["name"] = "needle-" + std::to_string(i);
        server["zone"] = "zagreb-a";
        server["model"] = "needle";
        server["weightsVersion"] = "v1";
        server["slots"] = 8;
        server["cacheBlocks"] = 4096;
        document["modelServers"].append(server);
    }
    document.removeMember("services");
    document["services"] = Json::Value(Json::arrayValue);
    for (std::size_t i = 0; i < accounts; ++i) {
        Json::Value account(Json::objectValue);
        account["name"] = "member-" + std::to_string(i);
        account["keyDigests"].append(digestOf("key-" + std::to_string(i)));
        account["rank"] = "free";
        document["accounts"].append(account);
    }
    return writeJson(document);
}

std::string Site::writeFile(const std::string &name, const std::string &text) const
{
    const std::filesystem::path path = directory / name;
    std::ofstream(path) << text;
    return path.string();
}

Json::Value Site::processSettings(const std::string &name, std::uint16_t wirePort, std::uint16_t adminPort) const
{
    Json::Value process(Json::objectValue);
    process["name"] = name;
    process["zone"] = "zagreb-a";
    process["environment"] = "guild";
    process["wireAddress"] = addressOf(wirePort);
    process["adminAddress"] = addressOf(adminPort);
    if (options.platform) {
        process["platformAddress"] = addressOf(platformPort);
    }
    process["seeds"] = Json::Value(Json::arrayValue);
    for (std::size_t i = 0; i < std::min(SeedCount, options.engines); ++i) {
        process["seeds"].append(addressOf(agentWirePorts[i]));
    }
    if (options.documentFiles) {
        process["documentFile"] = (directory / "document.json").string();
    }
    process["fleetKeys"][0]["id"] = 1;
    process["fleetKeys"][0]["key"] = fleetKey_;
    return process;
}

void Site::startPlatform()
{
    platform = std::make_unique<Program>(std::vector<std::string>{ program("carobhall-standin"), "platform", "--port", std::to_string(platformPort) },
                                         directory / "platform.log");
}

void Site::startEngine(std::size_t number)
{
    std::vector<std::string> command{ program("carobhall-standin"), "engine", "--port", std::to_string(enginePorts[number]), "--model", "needle",
                                      "--weights-version",          "v1" };
    command.insert(command.end(), options.engineArguments.begin(), options.engineArguments.end());
    engines[number] = std::make_unique<Program>(command, directory / ("engine-" + std::to_string(number) + ".log"));
}

void Site::startAgent(std::size_t number, std::uint16_t wirePort)
{
    const std::string name = "agent-" + std::to_string(number);
    Json::Value settings(Json::objectValue);
    settings["process"] = processSettings(name, wirePort == 0 ? agentWirePorts[number] : wirePort, agentAdminPorts[number]);
    settings["upstream"] = "needle-" + std::to_string(number);
    settings["upstreamAddress"] = addressOf(enginePorts[number % enginePorts.size()]);
    const std::string file = writeFile(name + ".json", writeJson(settings));
    agents[number] = std::make_unique<Program>(std::vector<std::string>{ program("carobhall-agent"), "--settings", file }, directory / (name + ".log"));
}

void Site::startEntry(std::size_t number)
{
    const std::string name = "entry-" + std::to_string(number);
    Json::Value settings(Json::objectValue);
    settings["process"] = processSettings(name, entryWirePorts[number], entryAdminPorts[number]);
    settings["callerAddress"] = addressOf(callerPorts[number]);
    const std::string file = writeFile(name + ".json", writeJson(settings));
    std::vector<std::string> command{ program("carobhall"), "serve", "--settings", file };
    command.insert(command.end(), options.entryArguments.begin(), options.entryArguments.end());
    entries[number] = std::make_unique<Program>(command, directory / (name + ".log"));
}

std::uint64_t Site::writeDocument(std::size_t accounts)
{
    const std::string text = documentText(accounts);
    const std::string path = "/apis/carobhall/v1/environments/guild";
    Json::Value object(Json::objectValue);
    object["metadata"]["name"] = "guild";
    if (version_ != 0) {
        object["metadata"]["resourceVersion"] = std::to_string(version_);
    }
    object["spec"]["digest"] = digestOf(text);
    object["spec"]["text"] = text;
    for (int i = 0; i < 100; ++i) {
        Call call(platformPort, { .method = version_ == 0 ? "POST" : "PUT", .path = path, .body = writeJson(object) });
        if (runUntil([&] { return call.done; }) && (call.status == 200 || call.status == 201)) {
            const Json::Value version = parseJson(call.body).value()["metadata"]["resourceVersion"];
            version_ = version.isString() ? std::stoull(version.asString()) : version.asUInt64();
            return version_;
        }
        // Retry, because the platform may still be starting.
        runUntil([] { return false; }, 20 * MicrosPerMilli);
    }
    g_error("the platform did not accept the document after 100 attempts");
}

std::optional<Json::Value> Site::dump(std::uint16_t adminPort)
{
    Call call(adminPort, { .method = "GET", .path = "/dump" });
    if (!runUntil([&] { return call.done; }, 2 * MicrosPerSecond) || call.status != 200) {
        return std::nullopt;
    }
    return parseJson(call.body);
}

std::vector<std::uint64_t> Site::versions(const std::vector<std::uint16_t> &adminPorts)
{
    std::vector<std::unique_ptr<Call>> calls;
    calls.reserve(adminPorts.size());
    for (const std::uint16_t port : adminPorts) {
        calls.push_back(std::make_unique<Call>(port, Call::Options{ .method = "GET", .path = "/dump" }));
    }
    runUntil([&] { return std::all_of(calls.begin(), calls.end(), [](const auto &call) { return call->done; }); });
    std::vector<std::uint64_t> found;
    found.reserve(calls.size());
    for (const auto &call : calls) {
        const auto state = parseJson(call->body);
        found.push_back(state && state->isObject() ? (*state)["config_version"].asUInt64() : 0);
    }
    return found;
}

std::size_t Site::logCount(const std::string &file, const std::string &text) const
{
    std::ifstream log(directory / file);
    std::size_t count = 0;
    for (std::string line; std::getline(log, line);) {
        count += line.find(text) != std::string::npos ? 1 : 0;
    }
    return count;
}

std::size_t Site::usableAgents(std::size_t entry)
{
    const auto state = dump(entryAdminPorts[entry]);
    if (!state || !(*state)["fleet"]["may_serve"].asBool()) {
        return 0;
    }
    std::size_t usable = 0;
    for (const Json::Value &agent : (*state)["agents"]) {
        usable += agent["usable"].asBool() ? 1 : 0;
    }
    return usable;
}

std::size_t Site::busiestAgent(std::size_t entry)
{
    std::vector<std::size_t> counts(agents.size(), 0);
    const auto state = dump(entryAdminPorts[entry]);
    for (std::size_t i = 0; state && i < counts.size(); ++i) {
        for (const Json::Value &request : (*state)["requests"]) {
            counts[i] += request["upstream"].asString() == "needle-" + std::to_string(i) ? 1 : 0;
        }
    }
    return static_cast<std::size_t>(std::max_element(counts.begin(), counts.end()) - counts.begin());
}

std::multiset<std::string> Site::memberStates(std::size_t entry, const std::string &name)
{
    std::multiset<std::string> states;
    const auto state = dump(entryAdminPorts[entry]);
    for (Json::ArrayIndex i = 0; state && i < (*state)["fleet"]["members"].size(); ++i) {
        const Json::Value &member = (*state)["fleet"]["members"][i];
        if (member["name"].asString() == name) {
            states.insert(member["state"].asString());
        }
    }
    return states;
}

bool Site::waitReady(std::size_t count, Micros limit)
{
    const Micros end = monotonicNow() + limit;
    for (std::size_t i = 0; i < entries.size();) {
        if (usableAgents(i) >= count) {
            ++i;
        } else if (monotonicNow() > end) {
            return false;
        } else {
            runUntil([] { return false; }, 10 * MicrosPerMilli);
        }
    }
    return true;
}

// Requests ----------------------------------------------------------------------------------------

Micros waitUntilServed(std::uint16_t callerPort, Micros limit)
{
    const std::string body = R"({"model":"needle","prompt":"Is the needle true?","max_tokens":1})";
    const std::string request = "POST /v1/completions HTTP/1.1\r\nHost: localhost\r\nAuthorization: Bearer " + std::string(CallerKey)
        + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
    const Micros end = monotonicNow() + limit;
    const sockaddr_in address = loopback(callerPort);
    const timeval timeout{ .tv_sec = 5, .tv_usec = 0 };
    while (monotonicNow() < end) {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
        std::string answer;
        if (connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0
            && send(descriptor, request.data(), request.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(request.size())) {
            std::array<char, 4096> buffer{};
            for (ssize_t size = 0; (size = recv(descriptor, buffer.data(), buffer.size(), 0)) > 0;) {
                answer.append(buffer.data(), static_cast<std::size_t>(size));
            }
        }
        close(descriptor);
        if (answer.starts_with("HTTP/1.1 200")) {
            return monotonicNow();
        }
        usleep(1000);
    }
    return monotonicNow();
}

} // namespace Carobhall::Testing
