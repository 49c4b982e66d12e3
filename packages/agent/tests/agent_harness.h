#pragma once

// Agents beside real stand-in programs, and a client that speaks to them as an entry process does.

#include "carobhall/agent.h"
#include "carobhall/routing.h"

#include <gio/gio.h>

namespace Carobhall::Testing
{

/// Iterates the main context until \p condition holds, for at most \p limit. Returns whether it holds.
template<typename Condition>
bool runUntil(Condition condition, Micros limit = 10 * MicrosPerSecond)
{
    const Micros end = monotonicNow() + limit;
    Timer wake; // Bounds each blocking iteration.
    wake.startRepeating(2 * MicrosPerMilli, [] {});
    while (!condition() && monotonicNow() < end) {
        g_main_context_iteration(nullptr, TRUE);
    }
    return condition();
}

void runFor(Micros time);

/// A child process whose output is collected. Killed with SIGKILL at the end.
class Program
{
public:
    /// Starts \p name from the directory of the binaries and waits until \p announcement and a port appear in the output.
    Program(const std::string &name, std::vector<std::string> arguments, std::string announcement = "listening=127.0.0.1:");
    ~Program();
    Program(const Program &) = delete;
    Program &operator=(const Program &) = delete;

    void kill();
    [[nodiscard]] bool isAlive() const;
    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] std::string address() const;
    [[nodiscard]] std::size_t countInOutput(std::string_view text) const;

private:
    struct Output;
    void readOn();

    std::shared_ptr<Output> output_;
    std::string announcement_;
};

std::unique_ptr<Program> startStandin(const std::string &kind, std::vector<std::string> options = {}, std::uint16_t port = 0);

/// GET \p path of a stand-in, or POST \p body there when it is not empty. The answer, null without one.
Json::Value ask(const Program &standin, const std::string &path, const std::string &body = {});

/// What came back for one attempt.
struct Seen {
    std::optional<Refused> refused;
    std::optional<Head> head;
    std::optional<End> end;
    std::string text;

    [[nodiscard]] bool isOver() const
    {
        return refused || end;
    }
    [[nodiscard]] bool isComplete() const
    {
        return end && end->complete;
    }
    [[nodiscard]] bool isRefused(Verdict verdict, Errc error) const
    {
        return refused && refused->verdict == static_cast<std::uint8_t>(verdict) && refused->error == static_cast<int>(error);
    }
};

/// An entry process's side of a connection to one agent.
class Client
{
public:
    explicit Client(std::uint16_t agentPort);

    /// Sends \p submit under a new identity, with ample credit unless it states some.
    const Seen &submit(Submit submit);
    [[nodiscard]] ProbeReply probe(const Submit &submit, std::string_view prompt = {});

private:
    void received(const Message &message);

    Endpoint endpoint_;
    ConnectionId connection_ = 0;
    Incarnation self_ = drawIncarnation();
    std::uint64_t lastNumber_ = 0;
    std::unordered_map<AttemptId, Seen> seen_; ///< References to its values stay valid.
    std::unordered_map<std::uint64_t, ProbeReply> replies_;
};

Submit completion(const std::string &prompt, std::uint32_t tokens = 4, Rank rank = Rank::Paying);
Submit booking(const std::string &key);

/// Model servers needle-1 (one slot), needle-2 and needle-3, and the service stamps with two servers.
std::string documentText();
AgentOptions agentOptions(const std::string &upstream, const Program &server, const Program *platform = nullptr);

/// The agent as a program of its own.
std::unique_ptr<Program> startAgentProgram(const std::string &upstream, const Program &server, const Program &platform);

} // namespace Carobhall::Testing
