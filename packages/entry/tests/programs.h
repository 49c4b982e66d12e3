#pragma once

// Runs the real programs as child processes on the loopback interface, for failure tests.

#include "harness.h"

#include <filesystem>
#include <sys/types.h>

namespace Carobhall::Testing
{

/// A child process. The destructor kills it with SIGKILL, by its process id.
class Program
{
public:
    /// Starts \p command and appends its output to \p logFile.
    Program(const std::vector<std::string> &command, const std::filesystem::path &logFile);
    ~Program();
    Program(const Program &) = delete;
    Program &operator=(const Program &) = delete;

    void signal(int number) const;
    /// Sends SIGKILL and waits until the process has ended.
    void kill();
    [[nodiscard]] bool hasExited();

private:
    pid_t pid_ = 0;
};

/// Returns a port of 127.0.0.1 that is free for TCP and UDP, below the range that the kernel uses for outgoing connections.
std::uint16_t freePort();

struct SiteOptions {
    std::size_t engines = 2;
    std::size_t entries = 1;
    bool platform = true;
    bool documentFiles = true; ///< Every process has a document file; otherwise it gets the document from peers and the platform only.
    std::vector<std::string> engineArguments{ "--decode-ms", "5", "--prefill-ms", "0.2", "--answer-tokens", "1000" };
    std::vector<std::string> entryArguments{};
    std::size_t sharedEngines = 0; ///< If not 0, the agents share this many stand-in engines.
};

/// Engines, agents, entry processes and the platform, as child processes. Their numbers start at 0.
class Site
{
public:
    explicit Site(SiteOptions options);

    void startPlatform();
    void startEngine(std::size_t number);
    /// \p wirePort 0 selects the port in agentWirePorts.
    void startAgent(std::size_t number, std::uint16_t wirePort = 0);
    void startEntry(std::size_t number);

    /// Writes the document, with \p accounts additional accounts, to the platform, on condition that the stored version is the last one
    /// written here. Returns the new version.
    std::uint64_t writeDocument(std::size_t accounts);
    /// Returns the response of GET /dump, or nullopt if the process does not answer.
    [[nodiscard]] std::optional<Json::Value> dump(std::uint16_t adminPort);
    /// Returns the version of the document in effect in each process, or 0 for a process that does not answer. Queries all processes
    /// concurrently.
    [[nodiscard]] std::vector<std::uint64_t> versions(const std::vector<std::uint16_t> &adminPorts);
    /// Number of lines that contain \p text in a log file.
    [[nodiscard]] std::size_t logCount(const std::string &file, const std::string &text) const;
    /// Waits until every entry process serves requests and lists \p agents usable agents. Returns false after \p limit.
    [[nodiscard]] bool waitReady(std::size_t agents, Micros limit = 10 * MicrosPerSecond);
    /// Number of usable agents that an entry process lists; 0 while it may not serve requests.
    [[nodiscard]] std::size_t usableAgents(std::size_t entry);
    /// The number of the agent that runs the most requests of an entry process.
    [[nodiscard]] std::size_t busiestAgent(std::size_t entry);
    /// The states that an entry process lists for the members named \p name, one for each incarnation.
    [[nodiscard]] std::multiset<std::string> memberStates(std::size_t entry, const std::string &name);

    SiteOptions options;
    std::filesystem::path directory;
    std::uint16_t platformPort = 0;
    std::vector<std::uint16_t> enginePorts;
    std::vector<std::uint16_t> agentWirePorts;
    std::vector<std::uint16_t> agentAdminPorts;
    std::vector<std::uint16_t> entryWirePorts;
    std::vector<std::uint16_t> entryAdminPorts;
    std::vector<std::uint16_t> callerPorts;
    std::unique_ptr<Program> platform;
    std::vector<std::unique_ptr<Program>> engines;
    std::vector<std::unique_ptr<Program>> agents;
    std::vector<std::unique_ptr<Program>> entries;

    ~Site();
    Site(const Site &) = delete;
    Site &operator=(const Site &) = delete;

private:
    [[nodiscard]] std::string documentText(std::size_t accounts) const;
    [[nodiscard]] Json::Value processSettings(const std::string &name, std::uint16_t wirePort, std::uint16_t adminPort) const;
    std::string writeFile(const std::string &name, const std::string &text) const;

    std::string fleetKey_;
    std::uint64_t version_ = 0;
};

/// Sends requests until one is answered with status 200, and returns the time of that answer, or the current time after \p limit. Blocks
/// the calling thread without iterating the main context.
Micros waitUntilServed(std::uint16_t callerPort, Micros limit);

} // namespace Carobhall::Testing
