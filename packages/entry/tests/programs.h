#pragma once

// The real programs as processes of their own, on loopback, for failure tests.

#include "harness.h"

#include <filesystem>
#include <sys/types.h>

namespace Carobhall::Testing
{

/// A child process. Ended with SIGKILL when destroyed, by its process identifier.
class Program
{
public:
    /// Output goes to \p logFile.
    Program(const std::vector<std::string> &command, const std::filesystem::path &logFile);
    ~Program();
    Program(const Program &) = delete;
    Program &operator=(const Program &) = delete;

    void signal(int number) const;
    /// SIGKILL, and waits until the process is gone.
    void kill();
    [[nodiscard]] bool hasExited();

private:
    pid_t pid_ = 0;
};

/// A port of 127.0.0.1 that is free for TCP and UDP, below the range that the kernel gives to outgoing connections.
std::uint16_t freePort();

struct SiteOptions {
    std::size_t engines = 2;
    std::size_t entries = 1;
    bool platform = true;
    bool documentFiles = true; ///< Every process starts from a file; otherwise only from peers and the platform.
    std::vector<std::string> engineArguments{ "--decode-ms", "5", "--prefill-ms", "0.2", "--answer-tokens", "1000" };
    std::vector<std::string> entryArguments{};
    std::size_t sharedEngines = 0; ///< Over 0: the agents share this many stand-in engines.
};

/// Engines, agents, entry processes and the platform. Numbers count from 0.
class Site
{
public:
    explicit Site(SiteOptions options);

    void startPlatform();
    void startEngine(std::size_t number);
    /// \p wirePort 0: its own.
    void startAgent(std::size_t number, std::uint16_t wirePort = 0);
    void startEntry(std::size_t number);

    /// Writes the document to the platform, with \p accounts further accounts, conditionally on the last version written. Returns its version.
    std::uint64_t writeDocument(std::size_t accounts);
    /// GET /dump of a process.
    [[nodiscard]] std::optional<Json::Value> dump(std::uint16_t adminPort);
    /// The document's version in effect in each process, by its admin port; 0 for one that does not answer. Asks all at once.
    [[nodiscard]] std::vector<std::uint64_t> versions(const std::vector<std::uint16_t> &adminPorts);
    /// Lines with \p text in a process's log file.
    [[nodiscard]] std::size_t logCount(const std::string &file, const std::string &text) const;
    /// Every entry process serves and knows \p agents usable agents.
    [[nodiscard]] bool waitReady(std::size_t agents, Micros limit = 10 * MicrosPerSecond);
    [[nodiscard]] std::size_t usableAgents(std::size_t entry);
    /// The agent that carries most requests of an entry process.
    [[nodiscard]] std::size_t busiestAgent(std::size_t entry);
    /// What an entry process believes of the members of this name: a state for each incarnation.
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

/// Sends requests until one is answered with 200, and returns when that was. Blocks; nothing else of this process runs meanwhile.
Micros firstServed(std::uint16_t callerPort, Micros limit);

} // namespace Carobhall::Testing
