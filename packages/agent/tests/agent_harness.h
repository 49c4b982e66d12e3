#pragma once

// Test harness: runs agents against stand-in upstream programs, and provides a client that speaks the wire protocol of an entry
// process.

#include "carobhall/agent.h"
#include "carobhall/routing.h"

#include <gio/gio.h>

namespace Carobhall::Testing
{

/// Iterates the main context until \p condition is true, for at most \p limit. Returns the final value of the condition.
template<typename Condition>
bool runUntil(Condition condition, Micros limit = 10 * MicrosPerSecond)
{
    const Micros end = monotonicNow() + limit;
    Timer wake; // Limits how long each iteration blocks.
    wake.startRepeating(2 * MicrosPerMilli, [] {});
    while (!condition() && monotonicNow() < end) {
        g_main_context_iteration(nullptr, TRUE);
    }
    return condition();
}

void runFor(Micros time);

/// A child process whose output is captured. The destructor kills it with SIGKILL.
class Program
{
public:
    /// Starts \p name from the directory CAROBHALL_BIN, by default build/bin, and waits until \p announcement and a port number
    /// appear in its output.
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

/// Starts carobhall-standin as \p kind, for example "engine". With port 0 it picks a free port.
std::unique_ptr<Program> startStandin(const std::string &kind, std::vector<std::string> options = {}, std::uint16_t port = 0);

/// Sends GET \p path to a stand-in, or POST with \p body if it is not empty. Returns the parsed response; null without one.
Json::Value requestJson(const Program &standin, const std::string &path, const std::string &body = {});

/// The messages received for one attempt.
struct AttemptResult {
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

/// The entry process's side of a connection to one agent.
class Client
{
public:
    explicit Client(std::uint16_t agentPort);

    /// Sends \p submit under a new attempt id, with ample credit unless \p submit sets some. The result is updated as messages
    /// arrive.
    const AttemptResult &submit(Submit submit);
    /// Probes the agent with the route, account, rank and fingerprint of \p submit, and waits for the reply.
    [[nodiscard]] ProbeReply probe(const Submit &submit, std::string_view prompt = {});

private:
    void received(const Message &message);

    Endpoint endpoint_;
    ConnectionId connection_ = 0;
    Incarnation incarnation_ = drawIncarnation();
    std::uint64_t lastNumber_ = 0;
    std::unordered_map<AttemptId, AttemptResult> results_; ///< References to its values remain valid.
    std::unordered_map<std::uint64_t, ProbeReply> probeReplies_;
};

/// A repeatable completion request to the model needle.
Submit completion(const std::string &prompt, std::uint32_t tokens = 4, Rank rank = Rank::Paying);
/// A non-repeatable call to the service stamps with the Idempotency-Key \p key; an empty key sends none.
Submit serviceCall(const std::string &key);

/// Environment document with the model servers needle-1 (one slot), needle-2 and needle-3, and the service stamps with two
/// servers.
std::string documentText();
/// Options of an agent for \p upstream that runs in the test process. Without \p platform it cannot claim keys.
AgentOptions agentOptions(const std::string &upstream, const Program &server, const Program *platform = nullptr);

/// Starts carobhall-agent as a child process, which the test can kill.
std::unique_ptr<Program> startAgentProgram(const std::string &upstream, const Program &server, const Program &platform);

} // namespace Carobhall::Testing
